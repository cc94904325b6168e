package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutusspan/arbutusspan/internal/faketime"
	_ "github.com/arbutusspan/arbutusspan/internal/fixedseed"
	"github.com/arbutusspan/arbutusspan/internal/state/routing"
)

// plannedRequest is what a caller sends and how the handler treats it.
type plannedRequest struct {
	caller    int // index in the plan
	index     int // in the requests of the caller
	target    string
	unsafe    bool
	body      int           // bytes; 0 for none
	expect    bool          // the caller waits for 100 Continue before it sends the body
	broken    bool          // the body is chunked and malformed
	last      bool          // with Connection: close
	gap       time.Duration // before it is sent
	split     time.Duration // pause after the first bytes of the request
	work      time.Duration
	panics    bool
	answerLen int
}

// plannedCaller is one connection.
type plannedCaller struct {
	dialAt    time.Duration
	pipelined int           // unanswered requests before the caller waits
	readPause time.Duration // before each response is read
	leaveAt   time.Duration // when the caller closes the connection; 0 for never
	requests  []plannedRequest
}

// stopPlan is a schedule of a planned stop.
type stopPlan struct {
	latency, drainAt, stopAt, endAt, idleTimeout time.Duration
	maxConnections                               int
	callers                                      []plannedCaller
}

func drawStopPlan(t *rapid.T) *stopPlan {
	ms := func(name string, choices ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(choices).Draw(t, name)) * time.Millisecond
	}
	p := &stopPlan{latency: ms("latency", 8, 1, 0, 30), drainAt: ms("drain", 20, 0, 100, 260), idleTimeout: ms("idle timeout", 9000, 9000, 30),
		maxConnections: rapid.SampledFrom([]int{100, 100, 1}).Draw(t, "connections")}
	p.stopAt = p.drainAt + ms("stop after", 0, 1, 50, 180)
	p.endAt = p.stopAt + ms("end after", 400, 9000, 60, 1)
	for i := range rapid.IntRange(1, 4).Draw(t, "callers") {
		c := plannedCaller{dialAt: ms("dial", 0, 0, 60, 170), pipelined: rapid.IntRange(1, 4).Draw(t, "pipelined"),
			readPause: ms("read pause", 0, 0, 3, 40), leaveAt: ms("leave", 0, 0, 0, 90, 240)}
		for j := range rapid.IntRange(1, 12).Draw(t, "requests") {
			r := plannedRequest{caller: i, index: j, target: fmt.Sprintf("/%d/%d", i, j), gap: ms("gap", 0, 0, 1, 12, 40), work: ms("work", 20, 0, 1, 88, 300),
				split: ms("split", 0, 0, 0, 5, 25), answerLen: rapid.SampledFrom([]int{20, 0, 9000, 200_000}).Draw(t, "answer")}
			switch rapid.SampledFrom([]string{"safe", "safe", "safe", "unsafe", "body", "expect", "panic", "last", "broken"}).Draw(t, "kind") {
			case "unsafe":
				r.unsafe = true
			case "body":
				r.body = 3000
			case "expect":
				r.unsafe, r.body, r.expect = true, 100, true
			case "panic":
				r.panics = true
			case "last":
				r.last = true
			case "broken":
				r.body, r.broken = 3000, true
			}
			c.requests = append(c.requests, r)
		}
		p.callers = append(p.callers, c)
	}
	return p
}

// stopRun plays a stopPlan.
type stopRun struct {
	plan    *stopPlan
	network *memNetwork
	server  *Server
	begin   time.Time

	mu        sync.Mutex
	reached   map[string]int            // by target, how often a request reached the handler
	running   map[string]bool           // by target
	planned   map[string]plannedRequest // by target
	violation []string
}

func (r *stopRun) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violation = append(r.violation, fmt.Sprintf("%v: ", time.Since(r.begin))+fmt.Sprintf(format, args...))
}

func (r *stopRun) MayRunConcurrently(q *Request) bool { return !r.planned[q.Target].unsafe }

func (r *stopRun) Serve(ctx context.Context, q *Request) *Response {
	p, ok := r.planned[q.Target]
	r.mu.Lock()
	r.reached[q.Target]++
	again := r.reached[q.Target] > 1
	r.running[q.Target] = true
	early := p.unsafe && slices.ContainsFunc(r.plan.callers[p.caller].requests[:p.index], func(q plannedRequest) bool { return r.running[q.target] })
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running[q.Target] = false
	}()
	if !ok || again || len(q.Body) != p.body {
		r.violate("the handler got %q with %d bytes", q.Target, len(q.Body))
	}
	if early && ctx.Err() == nil {
		r.violate("%s runs beside an earlier request of its connection", q.Target)
	}
	select {
	case <-time.After(p.work):
	case <-ctx.Done():
	}
	if p.panics {
		panic("planned")
	}
	return &Response{Status: http.StatusOK, Header: http.Header{"X-Target": {q.Target}}, Body: []byte(strings.Repeat("x", p.answerLen))}
}

// call plays one caller until its connection ends.
func (r *stopRun) call(c plannedCaller) {
	time.Sleep(c.dialAt)
	conn := r.network.dial()
	if conn == nil {
		return
	}
	var (
		mu       sync.Mutex
		waiting  []plannedRequest // sent and not answered
		left     bool
		ended    = make(chan struct{})
		proceed  = make(chan struct{}, 1) // 100 Continue
		answered = make(chan struct{}, 1)
	)
	if c.leaveAt > 0 {
		timer := time.AfterFunc(c.leaveAt, func() {
			mu.Lock()
			left = true
			mu.Unlock()
			conn.Close()
		})
		defer timer.Stop()
	}
	var sender sync.WaitGroup
	sender.Go(func() {
		for _, q := range c.requests {
			time.Sleep(q.gap)
			for {
				mu.Lock()
				full := len(waiting) >= c.pipelined
				if !full {
					waiting = append(waiting, q)
				}
				mu.Unlock()
				if !full {
					break
				}
				select {
				case <-answered:
				case <-ended:
					return
				}
			}
			if !q.write(conn, proceed, ended) || q.last {
				return
			}
		}
	})
	br := bufio.NewReader(conn)
	for closing := false; ; {
		time.Sleep(c.readPause)
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			break
		}
		if closing {
			r.violate("a response with status %d follows the last one", resp.StatusCode)
			break
		}
		if resp.StatusCode == http.StatusContinue {
			mu.Lock()
			due := len(waiting) > 0 && waiting[0].expect
			mu.Unlock()
			if !due {
				r.violate("100 Continue arrives before the responses to earlier requests")
				break
			}
			proceed <- struct{}{}
			continue
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			break
		}
		mu.Lock()
		if len(waiting) == 0 {
			mu.Unlock()
			r.violate("a response without a request")
			break
		}
		q := waiting[0]
		waiting = waiting[1:]
		mu.Unlock()
		r.checkResponse(q, resp, n)
		closing = resp.Close
		select {
		case answered <- struct{}{}:
		default:
		}
	}
	close(ended)
	conn.Close()
	sender.Wait()
	for _, q := range waiting {
		r.mu.Lock()
		lost := r.reached[q.target] > 0
		r.mu.Unlock()
		drainEnded := time.Since(r.begin) > r.plan.endAt+cutTimeout
		if lost && !left && !(drainEnded && c.slow()) {
			r.violate("%s reached the handler and is not answered", q.target)
		}
	}
}

// slow reports whether the responses to the caller may take longer than cutTimeout.
func (c plannedCaller) slow() bool {
	return c.readPause > 0 || slices.ContainsFunc(c.requests, func(q plannedRequest) bool { return q.answerLen > memWindow })
}

// checkResponse checks the response to a request, whose body has n bytes.
func (r *stopRun) checkResponse(q plannedRequest, resp *http.Response, n int64) {
	r.mu.Lock()
	reached := r.reached[q.target] > 0
	r.mu.Unlock()
	ok := false
	switch {
	case q.panics && reached:
		ok = resp.StatusCode == http.StatusInternalServerError
	case reached:
		ok = resp.StatusCode == http.StatusOK && resp.Header.Get("X-Target") == q.target && n == int64(q.answerLen)
	case q.broken && resp.StatusCode == http.StatusBadRequest, r.plan.maxConnections == 1 && resp.StatusCode == http.StatusServiceUnavailable:
		ok = resp.Close
	}
	if !ok {
		r.violate("%s is answered with %d, %q and %d bytes", q.target, resp.StatusCode, resp.Header.Get("X-Target"), n)
	}
}

// write sends the request. It returns false if the connection ended.
func (q plannedRequest) write(conn *memConn, proceed, ended <-chan struct{}) bool {
	text := "POST " + q.target + " HTTP/1.1\r\nHost: h\r\n"
	if q.last {
		text += "Connection: close\r\n"
	}
	if q.expect {
		text += "Expect: 100-continue\r\n"
	}
	length, body := fmt.Sprint("Content-Length: ", q.body), strings.Repeat("b", q.body)
	if q.broken {
		length, body = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\nno chunk\r\n", q.body, body)
	}
	text += length + "\r\n\r\n"
	if q.expect {
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		select {
		case <-proceed:
		case <-ended:
			return false
		}
		text = ""
	}
	text += body
	if q.split > 0 {
		if _, err := io.WriteString(conn, text[:len(text)/2]); err != nil {
			return false
		}
		time.Sleep(q.split)
		text = text[len(text)/2:]
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// stopLimit is the time that a stop may take if its context does not end it: the longest handlers, transfers and gaps of the requests of a
// connection that have arrived, and lingerTimeout.
const stopLimit = 4 * time.Second

// play plays the plan and returns what it violated.
func (p *stopPlan) play() []string {
	r := &stopRun{plan: p, network: newMemNetwork(p.latency), begin: time.Now(), reached: map[string]int{}, running: map[string]bool{}, planned: map[string]plannedRequest{}}
	for _, c := range p.callers {
		for _, q := range c.requests {
			r.planned[q.target] = q
		}
	}
	r.server = New(Config{Handler: r, Limits: func() routing.Limits { return idleLimits(p.idleTimeout) }, MaxConnections: p.maxConnections, Memory: bodyMemory(1 << 20),
		OnPanic: func(*Request, any, []byte) {}})
	var group sync.WaitGroup
	group.Go(func() { _ = r.server.Serve(r.network) })
	time.Sleep(time.Microsecond) // until Serve has begun
	for _, c := range p.callers {
		group.Go(func() { r.call(c) })
	}
	time.Sleep(p.drainAt - time.Since(r.begin))
	r.server.Drain()
	time.Sleep(p.stopAt - time.Since(r.begin))
	ctx, cancel := context.WithDeadline(context.Background(), r.begin.Add(p.endAt))
	defer cancel()
	r.server.Close(ctx)
	end := min(p.endAt+cutTimeout, p.stopAt+stopLimit)
	if late := time.Since(r.begin) - end; late > closePollInterval {
		r.violate("Close returned %v late", late)
	}
	group.Wait()
	if n, bytes := r.server.Unanswered(), bodyBytes(r.server); n != 0 || bytes != 0 || r.server.Connections() != 0 {
		r.violate("left: %d requests, %d bytes of bodies, %d connections", n, bytes, r.server.Connections())
	}
	return r.violation
}

// TestStopSchedules checks planned stops under random schedules of pipelined callers: each request that reached the handler is answered whole
// and in order unless its caller left, and Close returns in time. The fake clock reports goroutines that are left.
func TestStopSchedules(t *testing.T) {
	const schedules = 10 // in each check
	rapid.Check(t, func(rt *rapid.T) {
		for _, p := range rapid.SliceOfN(rapid.Custom(drawStopPlan), schedules, schedules).Draw(rt, "plans") {
			var violations []string
			faketime.Test(t, func(*testing.T) { violations = p.play() })
			is.New(rt).Equal(violations, nil)
		}
	})
}
