package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/arbutusspan/arbutusspan/internal/state/membudget"
)

// chunkReadBytes is the number of bytes that are read at a time from a chunked body.
const chunkReadBytes = 16 << 10

const bodyTooLarge = "the body is larger than the limits of the configuration in force allow"

// readBody reads the body of a request, or refuses the request.
func (p *parser) readBody(r *http.Request) {
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return
	}
	if r.ContentLength > p.limits.MaxBodyBytes {
		p.refuse(http.StatusRequestEntityTooLarge, bodyTooLarge)
		return
	}
	p.request.BodyDiscarded = !p.server.needsBody(p.request)
	p.beginBody(r.ContentLength)
	defer p.endWait()
	var err error
	switch {
	case p.request.BodyDiscarded:
		err = p.discardBody(r.ContentLength)
	case r.ContentLength > 0:
		err = p.readLength(r.ContentLength)
	default:
		err = p.readChunked()
	}
	p.endBody()
	switch {
	case p.refusal != nil:
	case isTimeout(err):
		p.refuseLate("the body did not arrive in time")
	case err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) && !isNetError(err):
		p.refuse(http.StatusBadRequest, "the body cannot be parsed: "+err.Error())
	case err != nil:
		p.disconnected = true
	}
	if p.refusal != nil || p.disconnected {
		p.releaseBody()
		return
	}
	if p.body != nil {
		p.request.Body = p.body.data
		if p.body.pages != nil {
			p.request.RetainBody = p.body.retain
		}
	}
}

// newBody creates the buffer of the body.
func (p *parser) newBody(capacity int64) bool {
	b, err := newBodyBuffer(capacity, p.releaseBodyMemory)
	if err != nil {
		p.refuse(http.StatusServiceUnavailable, "this host has no memory for the body")
		return false
	}
	p.body = b
	return true
}

// readLength reads a body of a stated length.
func (p *parser) readLength(length int64) error {
	kind := membudget.SmallBodies
	if length > smallBodyBytes {
		kind = membudget.LargeBodies
	}
	if limit := p.server.memory.Limit(kind); limit > 0 && length > limit || kind == membudget.SmallBodies && !p.reserve(kind, length) {
		p.refuse(http.StatusServiceUnavailable, noBodyMemory)
		return nil
	}
	if !p.newBody(length) {
		return nil
	}
	for rest := length; rest > 0; {
		n := min(rest, maxReadBytes)
		if kind == membudget.LargeBodies && !p.reserve(kind, n) {
			return nil
		}
		p.extendBody()
		have := len(p.body.data)
		p.body.data = p.body.data[:have+int(n)]
		if _, err := io.ReadFull(p.br, p.body.data[have:]); err != nil {
			return err
		}
		rest -= n
	}
	return nil
}

// readChunked reads a chunked body.
func (p *parser) readChunked() error {
	if !p.newBody(0) {
		return nil
	}
	return p.eachChunk(func(b []byte) bool {
		if p.body.pages == nil && len(p.body.data)+len(b) > smallBodyBytes && !p.moveToPages() {
			return false
		}
		kind := membudget.SmallBodies
		if p.body.pages != nil {
			kind = membudget.LargeBodies
		}
		if !p.reserve(kind, int64(len(b))) {
			return false
		}
		p.body.data = append(p.body.data, b...)
		return true
	})
}

// moveToPages moves a chunked body that is no longer small.
func (p *parser) moveToPages() bool {
	small := p.bodyBytes
	p.releaseBodyMemory()
	if !p.reserve(membudget.LargeBodies, small) {
		return false
	}
	if err := p.body.usePages(p.limits.MaxBodyBytes); err != nil {
		p.refuse(http.StatusServiceUnavailable, "this host has no memory for the body")
		return false
	}
	return true
}

// discardBody reads a body that the handler does not need.
func (p *parser) discardBody(length int64) error {
	if length < 0 {
		return p.eachChunk(func([]byte) bool { return true })
	}
	for rest := length; rest > 0; {
		p.extendBody()
		n, err := io.CopyN(io.Discard, p.br, min(rest, maxReadBytes))
		if err != nil {
			return err
		}
		rest -= n
	}
	return nil
}

// eachChunk calls f with the parts of a chunked body until f returns false, and refuses a body that is too large.
func (p *parser) eachChunk(f func([]byte) bool) error {
	cr := httputil.NewChunkedReader(p.br)
	buf := make([]byte, chunkReadBytes)
	var total, extended int64 // extended: length of the body when its deadline was extended
	p.extendBody()
	for {
		if total-extended >= maxReadBytes {
			p.extendBody()
			extended = total
		}
		n, err := cr.Read(buf)
		if n > 0 {
			if total += int64(n); total > p.limits.MaxBodyBytes {
				p.refuse(http.StatusRequestEntityTooLarge, bodyTooLarge)
				return nil
			}
			if !f(buf[:n]) {
				return nil
			}
		}
		if err == io.EOF {
			return p.skipTrailer()
		}
		if err != nil {
			return err
		}
	}
}

// maxTrailerBytes bounds the trailer of a chunked body.
const maxTrailerBytes = 16 << 10

var errTrailerTooLarge = errors.New("the trailer is too large")

// skipTrailer reads up to the empty line that ends the trailer.
func (p *parser) skipTrailer() error {
	for total := 0; total <= maxTrailerBytes; {
		line, err := p.br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if total += len(line); len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return errTrailerTooLarge
}
