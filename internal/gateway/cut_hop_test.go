package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/coordination/detour"
	"github.com/arbutusspan/arbutusspan/internal/state/endpoints"
	"github.com/arbutusspan/arbutusspan/internal/state/registry"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
	"github.com/arbutusspan/arbutusspan/internal/testbed/rawserver"
)

const healthPath = "/health"

// cuttingServer passes requests on to a server and sends the first bytes of its responses, then it closes or resets the connection. Health checks get
// whole responses.
type cuttingServer struct {
	*rawserver.Server
	target   string // IP:port
	bytes    atomic.Int64
	reset    atomic.Bool
	noStatus atomic.Bool // successes have the status 000
	early    atomic.Bool // a part of a response is sent before the request's body is read, and the connection is ended and then reset

	mu  sync.Mutex
	cut map[string]bool // by request id: whether bytes of its response were left out
}

// wholeResponse is a number of bytes that no response has.
const wholeResponse = 1 << 30

func startCuttingServer(t *testing.T, target string) *cuttingServer {
	t.Helper()
	s := &cuttingServer{target: target, cut: map[string]bool{}}
	s.bytes.Store(wholeResponse)
	raw, err := rawserver.New(s.answer)
	is.New(t).NoErr(err)
	t.Cleanup(raw.Close)
	s.Server = raw
	return s
}

func (s *cuttingServer) answer(_ int, r *http.Request) (string, rawserver.End) {
	health := r.URL.Path == healthPath
	if s.early.Load() && !health {
		return "HTTP/1.1 200 OK\r\nUpstream-Request-Id: " + s.record(r, true) + "\r\n\r\npart", rawserver.EndThenReset
	}
	response, err := s.passOn(r)
	if err != nil {
		return "", rawserver.Close
	}
	if s.noStatus.Load() && !health {
		s.record(r, true)
		return strings.Replace(string(response), "HTTP/1.1 200", "HTTP/1.1 000", 1), rawserver.Close
	}
	n := int(s.bytes.Load())
	whole := health || n >= len(response)
	s.record(r, !whole)
	switch {
	case whole:
		return string(response), rawserver.Keep
	case s.reset.Load():
		return string(response[:n]), rawserver.Reset
	}
	return string(response[:n]), rawserver.Close
}

// record records that the response to a request passes, and whether it is cut. It returns the request's id.
func (s *cuttingServer) record(r *http.Request, cut bool) (id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id = r.Header.Get("Upstream-Request-Id")
	s.cut[id] = cut
	return id
}

// passOn sends a request to the target and returns the bytes of the response.
func (s *cuttingServer) passOn(r *http.Request) ([]byte, error) {
	c, err := net.Dial("tcp", s.target)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := r.Write(c); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &out)), r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return out.Bytes(), err
}

// answered reports whether the response to a request passed, and whether it was cut.
func (s *cuttingServer) answered(id string) (cut, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cut, ok = s.cut[id]
	return cut, ok
}

// hopPair is a host that has lost its way to the endpoint, and one through which it sends requests. hop is between them, upstream between the second one
// and the endpoint.
type hopPair struct {
	near, far     *testHost
	hop, upstream *cuttingServer
	requests      int
}

func startHopPair(t *testing.T) *hopPair {
	t.Helper()
	d := deploy(t)
	d.store.put(t, "contract", "config", routing.Config{Version: 3, Services: []routing.Service{{Name: "lotdesk", HealthPath: healthPath}},
		Routes: []routing.Route{{Name: "order", Host: "shop.example", Prefix: "/orders/", Timeout: 2 * time.Second, TargetLatency: time.Second, MaxAttempts: 2,
			Split: []routing.WeightedService{{Service: "lotdesk", Weight: 1}}}}})
	p := &hopPair{upstream: startCuttingServer(t, d.upstream.Listener.Addr().String())}
	d.store.put(t, "endpoints", "e-1", registry.Entry{Name: "e-1", Started: 2, Service: "lotdesk", Address: p.upstream.Address(), Zone: "a", Slots: 2})
	p.far = d.start(t)
	p.near = d.start(t, p.far.settings.StateAddress)
	waitFor(t, "readiness", func() bool { return p.near.ready() && p.far.ready() && p.near.knows(p.far) })
	p.hop = startCuttingServer(t, p.far.settings.DetourAddress)
	return p
}

// send sends a request with a body of the given size to the near host, which sends it through the far one, and returns what the caller gets.
func (p *hopPair) send(t *testing.T, bodyBytes int) (id string, resp *http.Response, whole bool) {
	t.Helper()
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		now := time.Now()
		witness, _ := p.far.gateway.peers.Self()
		witness.DetourAddress = p.hop.Address()
		p.near.gateway.ways.HandleReport(witness, true, &detour.Report{Answered: []detour.ServiceAge{{Service: "lotdesk"}}}, now.Add(time.Millisecond))
		p.near.gateway.ways.Unanswered("lotdesk", endpoints.ID{Address: "127.0.0.1:1"}, now)
		if p.near.gateway.ways.State("lotdesk") != detour.Cut {
			continue // the host has just been answered by the endpoint
		}
		p.requests++
		id = fmt.Sprintf("r%05d", p.requests)
		c, err := net.Dial("tcp", p.near.settings.CallerAddress)
		is.New(t).NoErr(err)
		fmt.Fprintf(c, "GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\nUpstream-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", id, bodyBytes)
		_, err = c.Write(make([]byte, bodyBytes))
		is.New(t).NoErr(err)
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		c.Close()
		_, passed := p.hop.answered(id)
		if _, reached := p.upstream.answered(id); passed && reached {
			return id, resp, err == nil
		}
	}
	t.Fatal("no request went through the other host: ", resp)
	return "", nil, false
}

// TestHopThatStopsInItsAnswer guards against a caller that gets a success that looks whole, or a promise that its request has not run, if the answer of
// the host through which it was sent, or that of the endpoint to that host, ends in its head or body.
func TestHopThatStopsInItsAnswer(t *testing.T) {
	p := startHopPair(t)
	for name, s := range map[string]*cuttingServer{"hop": p.hop, "endpoint": p.upstream} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				is := is.New(t)
				defer s.bytes.Store(wholeResponse)
				s.reset.Store(reset)
				n := 0
				for cut := true; cut; n++ {
					s.bytes.Store(int64(n))
					id, resp, whole := p.send(t, 0)
					cut, _ = s.answered(id)
					success := resp != nil && resp.StatusCode == http.StatusOK && whole
					is.Equal(success, !cut)
					if cut {
						checkFailure(t, resp, whole)
					}
				}
				t.Logf("%d bytes", n)
				is.True(n > 100)
			})
		}
	}
}

// checkFailure checks that the caller gets no success, no promise that its request has not run, and nothing that only hosts say to each other.
func checkFailure(t *testing.T, resp *http.Response, whole bool) {
	t.Helper()
	if resp == nil || !whole {
		return // the caller has seen that the response was cut
	}
	if resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	for name := range resp.Header {
		is.New(t).True(!strings.HasPrefix(name, "Arbutusspan-Hop"))
	}
}

// TestMalformedAnswerOverHop guards against a caller that gets a status 000 as an answer, if the endpoint sends it to the host through which the request was
// sent, or that host sends it in place of the status of its answer.
func TestMalformedAnswerOverHop(t *testing.T) {
	p := startHopPair(t)
	for name, s := range map[string]*cuttingServer{"hop": p.hop, "endpoint": p.upstream} {
		t.Run(name, func(t *testing.T) {
			s.noStatus.Store(true)
			defer s.noStatus.Store(false)
			for range 5 {
				_, resp, whole := p.send(t, 0)
				checkFailure(t, resp, whole)
			}
		})
	}
}

// TestResetUploadOverHop guards against a caller that gets a part of an answer as a complete one: its upload is sent through another host, and the endpoint
// answers at once, ends its side of the connection in order and resets it while the upload is being written.
func TestResetUploadOverHop(t *testing.T) {
	const uploadBytes = 8 << 20
	p := startHopPair(t)
	p.upstream.early.Store(true)
	for range 5 {
		_, resp, whole := p.send(t, uploadBytes)
		checkFailure(t, resp, whole)
	}
}
