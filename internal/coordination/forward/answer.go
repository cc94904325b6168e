package forward

import (
	"bytes"
	"context"
	"io"
	"time"
)

const (
	// maxBufferedBody is the size in bytes of the largest answer that is read whole before it is passed on, so that the request can be
	// sent again if the connection breaks within the answer.
	maxBufferedBody = 256 << 10
	// smallBody is the size in bytes up to which an answer is read without Config.ReserveMemory.
	smallBody = 16 << 10
	// firstReadBytes is the size of the first buffer for an answer whose length is unknown. Each further buffer is bufferGrowth times as large.
	firstReadBytes = 4 << 10
	bufferGrowth   = 4
	// maxReadBytes bounds one read of a body in bytes. A reader of chunked bodies returns only once the buffer is full or the chunk ends.
	maxReadBytes = 4 << 10
)

// readAnswer reads the body of the response of got. If it is larger than maxBufferedBody, or there is no memory for it, got.stream holds what
// follows the part that was read.
func (f *Forwarder) readAnswer(got *sendResult) {
	resp := got.resp
	got.progressAt = time.Now()
	if resp.Length > maxBufferedBody {
		got.stream = resp.Body
		return
	}
	size := resp.Length
	if size < 0 {
		size = firstReadBytes
	}
	for ; ; size = min(bufferGrowth*size, maxBufferedBody) {
		if size > smallBody && !f.reserve(got, size) {
			got.stream = resp.Body
			return
		}
		got.body = append(make([]byte, 0, size+1), got.body...) // the smaller buffer is free while the rest is awaited
		got.err = got.fill(resp.Body)
		switch {
		case got.err == io.EOF:
			got.err = nil
			resp.Body.Close()
			if len(got.body) == 0 { // the response to a HEAD request
				got.body = nil
				f.release(got)
			}
			return
		case got.err != nil:
			resp.Body.Close()
			f.release(got)
			return
		case size >= maxBufferedBody:
			got.stream = resp.Body
			return
		}
	}
}

// fill reads into the free capacity of the body's buffer until it is full or the reader returns an error.
func (s *sendResult) fill(r io.Reader) error {
	for len(s.body) < cap(s.body) {
		n, err := r.Read(s.body[len(s.body):min(cap(s.body), len(s.body)+maxReadBytes)])
		s.body = s.body[:len(s.body)+n]
		if len(s.body)-s.progress >= progressBytes {
			s.progress, s.progressAt = len(s.body), time.Now()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// reserve raises the memory that is reserved for the body of got to size. It returns false if there is none left.
func (f *Forwarder) reserve(got *sendResult, size int64) bool {
	more := size - got.reserved
	if f.cfg.ReserveMemory != nil && !f.cfg.ReserveMemory(more) {
		return false
	}
	f.bufferedBytes.Add(more)
	got.reserved = size
	return true
}

func (f *Forwarder) release(got *sendResult) {
	if got.reserved == 0 {
		return
	}
	f.bufferedBytes.Add(-got.reserved)
	if f.cfg.ReleaseMemory != nil {
		f.cfg.ReleaseMemory(got.reserved)
	}
	got.reserved = 0
}

// discard closes the stream of a result that is not used and releases the memory of its body.
func (f *Forwarder) discard(got *sendResult) {
	if got.stream != nil {
		got.stream.Close()
	}
	f.release(got)
}

// discardLastFailure discards the last failure, which is not passed on.
func (r *activeRequest) discardLastFailure() {
	if r.lastFailure != nil {
		r.forwarder.discard(r.lastFailure)
	}
}

// BufferedBytes returns the memory that is reserved for the bodies of answers, in bytes.
func (f *Forwarder) BufferedBytes() int64 { return f.bufferedBytes.Load() }

// reservedBody is the body of an answer, or its first part, for which memory is reserved until it is closed.
type reservedBody struct {
	io.Reader
	forwarder *Forwarder
	got       sendResult
}

// newReservedBody returns the body of a result as one stream.
func (f *Forwarder) newReservedBody(got sendResult) *reservedBody {
	b := &reservedBody{Reader: bytes.NewReader(got.body), forwarder: f, got: got}
	if got.stream != nil {
		b.Reader = io.MultiReader(b.Reader, got.stream)
	}
	return b
}

// Close implements io.Closer.
func (b *reservedBody) Close() error {
	b.forwarder.discard(&b.got)
	b.Reader = bytes.NewReader(nil) // frees the memory
	return nil
}

// cancelOnClose cancels the context of an answer when its streamed body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
