package ingress

import (
	"os"
	"sync/atomic"
	"syscall"

	"github.com/gravitational/trace"
)

// smallBodyBytes is the size in bytes up to which a body is kept on the heap. A larger one has pages of its own: they take memory only as the body
// arrives, whatever length it states, and are given back at once instead of at the next garbage collection.
const smallBodyBytes = 64 << 10

// bodyBuffer holds the bytes of a body. Its memory is freed when its last user has released it.
type bodyBuffer struct {
	data  []byte // what has arrived
	pages []byte // memory of data; nil if it is on the heap
	users atomic.Int32
	free  func() // is called once, when the memory is freed
}

// newBodyBuffer returns an empty buffer with the given capacity and one user.
func newBodyBuffer(capacity int64, free func()) (*bodyBuffer, error) {
	b := &bodyBuffer{free: free}
	b.users.Store(1)
	if capacity <= smallBodyBytes {
		b.data = make([]byte, 0, capacity)
		return b, nil
	}
	return b, b.usePages(capacity)
}

// usePages moves the bytes to pages that can hold the given number of bytes.
func (b *bodyBuffer) usePages(capacity int64) error {
	size := int64(os.Getpagesize())
	pages, err := syscall.Mmap(-1, 0, int((capacity+size-1)/size*size), syscall.PROT_READ|syscall.PROT_WRITE,
		syscall.MAP_ANON|syscall.MAP_PRIVATE|syscall.MAP_NORESERVE)
	if err != nil {
		return trace.Wrap(err, "map %d bytes for a request body; raise the limit on the process's address space", capacity)
	}
	b.data, b.pages = append(pages[:0:capacity], b.data...), pages
	return nil
}

// retain adds a user.
func (b *bodyBuffer) retain() (release func()) {
	b.users.Add(1)
	return b.release
}

// release removes a user.
func (b *bodyBuffer) release() {
	if b.users.Add(-1) > 0 {
		return
	}
	if b.pages != nil {
		// It fails only for memory that is not mapped.
		_ = syscall.Munmap(b.pages)
		b.data, b.pages = nil, nil
	}
	b.free()
}
