package upstreamconn

import (
	"bytes"
	"net/http"
	"sync"

	"github.com/arbutusspan/arbutusspan/internal/coordination/executor"
)

// setBody sets a request body that can be read once. It does not set GetBody, so net/http cannot send the body again.
func setBody(req *http.Request, c *executor.Call) {
	if len(c.Body) == 0 {
		return
	}
	b := &requestBody{reader: bytes.NewReader(c.Body)}
	if c.RetainBody != nil {
		b.release = c.RetainBody()
	}
	req.Body = b
	req.ContentLength = int64(len(c.Body))
}

// closeBody closes the body of a request that gets no response. The connection may be reading it still.
func closeBody(req *http.Request) {
	if req.Body != nil {
		// It never fails.
		_ = req.Body.Close()
	}
}

// requestBody is a body whose memory may be freed once it is closed. It has no method but Read that passes the memory on.
type requestBody struct {
	mu      sync.Mutex
	reader  *bytes.Reader // nil once the body is closed
	release func()        // may be nil
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader == nil {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.reader.Read(p)
}

// Close implements io.Closer. net/http calls it once it no longer reads the body.
func (b *requestBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != nil && b.release != nil {
		b.release()
	}
	b.reader = nil
	return nil
}
