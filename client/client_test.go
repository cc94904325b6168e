package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/protocol/problem"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// step handles one request.
type step func(w http.ResponseWriter, r *http.Request)

func ok(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(callerapi.HeaderUpstream, "127.0.0.9:1")
	io.WriteString(w, "done")
}

// drop closes the connection without a response after the request was read.
func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// cut closes the connection in the middle of the response body.
func cut(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	io.WriteString(w, "do")
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func refuse(reason refusals.Reason, ran refusals.Ran, after time.Duration) step {
	return func(w http.ResponseWriter, r *http.Request) {
		problem.Write(w, &refusals.Refusal{Reason: reason, Ran: ran, RetryAfter: after, RequestID: r.Header.Get(callerapi.HeaderRequestID)})
	}
}

// fakeHost is an entry host that handles each request with the next step, or with ok when there are no more steps.
type fakeHost struct {
	*httptest.Server
	prefix string

	mu      sync.Mutex
	steps   []step
	keys    []string // idempotency keys of the requests that arrived
	lookups int      // number of address lookups
}

func (h *fakeHost) address() string { return strings.TrimPrefix(h.URL, "http://") }

func (h *fakeHost) next(r *http.Request) step {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keys = append(h.keys, r.Header.Get(callerapi.HeaderIdempotencyKey))
	if len(h.steps) == 0 {
		return ok
	}
	s := h.steps[0]
	h.steps = h.steps[1:]
	return s
}

func (h *fakeHost) receivedKeys() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.keys)
}

func (h *fakeHost) lookupCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lookups
}

// deployment is two fake hosts and a client that knows both.
type deployment struct {
	a, b   *fakeHost
	client *Client
	waits  []time.Duration
}

func deploy(t *testing.T, prefixes bool, a, b []step) *deployment {
	t.Helper()
	d := &deployment{a: &fakeHost{steps: a}, b: &fakeHost{steps: b}}
	if prefixes {
		d.a.prefix, d.b.prefix = "a-0123456789abcdef.1", "b-0123456789abcdef.1"
	}
	for _, h := range []*fakeHost{d.a, d.b} {
		mux := http.NewServeMux()
		mux.HandleFunc(callerapi.AddressesPath, func(w http.ResponseWriter, _ *http.Request) {
			h.mu.Lock()
			h.lookups++
			h.mu.Unlock()
			json.NewEncoder(w).Encode(callerapi.Addresses{LifetimeMS: time.Hour.Milliseconds(), Addresses: []callerapi.Address{
				{Host: "a", Address: d.a.address(), KeyPrefix: d.a.prefix}, {Host: "b", Address: d.b.address(), KeyPrefix: d.b.prefix}}})
		})
		mux.HandleFunc("/s/", func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			h.next(r)(w, r)
		})
		h.Server = httptest.NewServer(mux)
		t.Cleanup(h.Close)
	}
	c, err := New(Config{Hosts: []string{d.a.address(), d.b.address()}, Customer: "trentvale", Secret: "s"})
	if err != nil {
		t.Fatal(err)
	}
	c.sleep = func(_ context.Context, wait time.Duration) error {
		d.waits = append(d.waits, wait)
		return nil
	}
	t.Cleanup(c.Close)
	d.client = c
	return d
}

func (d *deployment) do(idempotent bool) (*Response, *Error) {
	r := &Request{Service: "lotdesk", Method: http.MethodPost, Path: "/reservations", Body: []byte("lot 17"), Idempotent: idempotent, Timeout: time.Hour}
	resp, err := d.client.Do(context.Background(), r)
	var failed *Error
	errors.As(err, &failed)
	return resp, failed
}

// TestRetries guards against a request that runs twice because it was retried, or that fails although it could be retried.
func TestRetries(t *testing.T) {
	const delay = 700 * time.Millisecond
	inProgress := refuse(refusals.KeyInProgress, RanUnknown, delay)
	tests := map[string]struct {
		a, b       []step
		idempotent bool
		noPrefix   bool
		atA, atB   string // one letter per request that arrived: the same letter for the same key, '-' for no key
		ran        Ran    // of the error; empty if a response is expected
	}{
		"answered":                                  {atA: "k"},
		"dropped, recorded answer":                  {a: []step{drop}, atA: "kk"},
		"answer cut, recorded answer":               {a: []step{cut}, atA: "kk"},
		"dropped, still running, recorded answer":   {a: []step{drop, inProgress}, atA: "kkk"},
		"dropped, outcome unknown":                  {a: []step{drop, refuse(refusals.KeyOutcomeUnknown, RanUnknown, 0)}, atA: "kk", ran: RanUnknown},
		"not run, with a delay":                     {a: []step{refuse(refusals.RateExceeded, RanNo, delay)}, atA: "kl"},
		"not run, final":                            {a: []step{refuse(refusals.DeadlineUnreachable, RanNo, 0)}, atA: "k", ran: RanNo},
		"draining":                                  {a: []step{refuse(refusals.HostDraining, RanNo, 0)}, atA: "k", atB: "l"},
		"unknown, then unknown keeps the key":       {a: []step{drop, refuse(refusals.HostDraining, RanUnknown, delay)}, atA: "kkk"},
		"unknown, then not run takes a new key":     {a: []step{drop, refuse(refusals.RateExceeded, RanNo, delay)}, atA: "kk", atB: "l"},
		"unknown, then draining takes a new key":    {a: []step{drop, refuse(refusals.HostDraining, RanNo, delay)}, atA: "kk", atB: "l"},
		"unknown, then not run, final":              {a: []step{drop, refuse(refusals.DeadlineUnreachable, RanNo, 0)}, atA: "kk", ran: RanNo},
		"upstream lost":                             {a: []step{refuse(refusals.UpstreamLost, RanUnknown, delay)}, atA: "k", ran: RanUnknown},
		"key expired":                               {a: []step{refuse(refusals.KeyExpired, RanUnknown, 0)}, atA: "k", ran: RanUnknown},
		"answer not kept":                           {a: []step{drop, refuse(refusals.KeyAnswerNotKept, RanYes, 0)}, atA: "kk", ran: RanYes},
		"attempts end":                              {a: []step{drop, drop, drop, drop}, atA: "kkkk", ran: RanUnknown},
		"no key, dropped":                           {noPrefix: true, a: []step{drop}, atA: "-", ran: RanUnknown},
		"no key, not run":                           {noPrefix: true, a: []step{refuse(refusals.QueueFull, RanNo, delay)}, atA: "--"},
		"idempotent, dropped":                       {idempotent: true, a: []step{drop}, atA: "-", atB: "-"},
		"idempotent, answer cut":                    {idempotent: true, a: []step{cut}, atA: "-", atB: "-"},
		"idempotent, upstream lost":                 {idempotent: true, a: []step{refuse(refusals.UpstreamLost, RanUnknown, delay)}, atA: "--"},
		"idempotent, both draining, then the first": {idempotent: true, a: []step{refuse(refusals.HostDraining, RanNo, 0)}, b: []step{refuse(refusals.HostDraining, RanNo, 0)}, atA: "--", atB: "-"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, !tt.noPrefix, tt.a, tt.b)
			resp, failed := d.do(tt.idempotent)
			letters := map[string]string{"": "-"}
			receivedAt := func(h *fakeHost) (out string) {
				for _, key := range h.receivedKeys() {
					if letters[key] == "" {
						letters[key] = string(rune('k' + len(letters) - 1))
					}
					is.True(key == "" || strings.HasPrefix(key, h.prefix+".")) // the key names the host that received it
					out += letters[key]
				}
				return out
			}
			is.Equal(receivedAt(d.a), tt.atA)
			is.Equal(receivedAt(d.b), tt.atB)
			if tt.ran == "" {
				is.True(failed == nil)
				is.Equal(string(resp.Body), "done")
				is.Equal(resp.Attempts, len(tt.atA+tt.atB))
				return
			}
			is.True(failed != nil)
			is.Equal(failed.Ran, tt.ran)
		})
	}
}

// TestDelayIsHonoured guards against a client that retries before the stated delay has passed.
func TestDelayIsHonoured(t *testing.T) {
	is := is.New(t)
	header := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", problem.ContentType)
		w.Header().Set(callerapi.HeaderRan, string(RanNo))
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(Problem{Reason: refusals.QueueFull, Ran: RanNo})
	}
	d := deploy(t, true, []step{refuse(refusals.QueueFull, RanNo, 300*time.Millisecond), header}, nil)
	_, failed := d.do(false)
	is.True(failed == nil)
	is.Equal(d.waits, []time.Duration{300 * time.Millisecond, 2 * time.Second})
}

// TestForwardedRefusal guards against mistaking a refusal that the upstream forwards for a refusal of this request, which ran.
func TestForwardedRefusal(t *testing.T) {
	is := is.New(t)
	d := deploy(t, true, []step{func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", problem.ContentType)
		w.Header().Set(callerapi.HeaderRan, string(RanYes))
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(Problem{Reason: refusals.QueueFull, Ran: RanNo, RetryAfterMS: 1})
	}}, nil)
	resp, failed := d.do(false)
	is.True(failed == nil)
	is.Equal(resp.Status, http.StatusServiceUnavailable)
	is.Equal(len(d.a.receivedKeys()), 1)
}

// TestKeyHostUnreachable guards against a new key, or a retry that runs at another host, when the host that a key names stops.
func TestKeyHostUnreachable(t *testing.T) {
	is := is.New(t)
	d := deploy(t, true, nil, []step{refuse(refusals.KeyForeign, RanUnknown, 0)})
	d.a.steps = []step{func(http.ResponseWriter, *http.Request) {
		d.a.Listener.Close() // no new connection is accepted
		panic(http.ErrAbortHandler)
	}}
	_, failed := d.do(false)
	is.True(failed != nil)
	is.Equal(failed.Ran, RanUnknown)
	is.Equal(failed.Problem.Reason, refusals.KeyForeign)
	is.Equal(d.b.receivedKeys(), d.a.receivedKeys()) // the other host received the same key
}

// TestNothingSent guards against failing, or keeping a key that names an unreachable host, when no byte was sent.
func TestNothingSent(t *testing.T) {
	is := is.New(t)
	d := deploy(t, true, nil, nil)
	_, err := d.client.addresses(t.Context(), "lotdesk")
	is.NoErr(err)
	d.client.Close() // bytes could be written to an idle connection although the host is closed
	d.a.Close()
	resp, failed := d.do(false)
	is.True(failed == nil)
	is.Equal(resp.Attempts, 2)
	is.True(strings.HasPrefix(d.b.receivedKeys()[0], d.b.prefix+"."))
	d.client.Close()
	d.b.Close()
	_, failed = d.do(false)
	is.True(failed != nil)
	is.Equal(failed.Ran, RanNo)
}

// TestAddressesAreCached guards against an address lookup before each request, and against using addresses after their lifetime.
func TestAddressesAreCached(t *testing.T) {
	is := is.New(t)
	d := deploy(t, true, nil, nil)
	for range 5 {
		_, failed := d.do(true)
		is.True(failed == nil)
	}
	is.Equal(d.a.lookupCount(), 1)
	d.client.directory.expire(time.Now())
	_, failed := d.do(true)
	is.True(failed == nil)
	is.Equal(d.a.lookupCount()+d.b.lookupCount(), 2)
	is.Equal(len(d.a.receivedKeys()), 6) // the first address is preferred
}

// TestHeaders guards against missing or wrong protocol headers.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex // the handlers of two hosts may run at the same time
	var seen []http.Header
	record := func(next step) step {
		return func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			seen = append(seen, r.Header.Clone())
			mu.Unlock()
			next(w, r)
		}
	}
	d := deploy(t, true, []step{record(drop), record(ok)}, nil)
	resp, failed := d.do(false)
	is.True(failed == nil)
	mu.Lock()
	defer mu.Unlock()
	for attempt, h := range seen {
		is.Equal(h.Get(callerapi.HeaderAttempt), strconv.Itoa(attempt))
		is.Equal(h.Get(callerapi.HeaderNewKey) == "true", attempt == 0)
		is.Equal(h.Get(callerapi.HeaderRequestID), resp.RequestID)
		is.Equal(h.Get("Authorization"), "Bearer trentvale.s")
		ms, err := strconv.Atoi(h.Get(callerapi.HeaderDeadlineMS))
		is.NoErr(err)
		is.True(ms > 0 && ms <= int(time.Hour.Milliseconds()))
	}
}

// TestDial guards against connections, for requests or for address lookups, that are opened without the configured function.
func TestDial(t *testing.T) {
	is := is.New(t)
	d := deploy(t, false, nil, nil)
	var mu sync.Mutex
	var dialled []string
	c, err := New(Config{Hosts: []string{"host:1"}, Customer: "trentvale", Secret: "s",
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			mu.Lock()
			dialled = append(dialled, address)
			mu.Unlock()
			return (&net.Dialer{}).DialContext(ctx, network, d.b.address())
		}})
	is.NoErr(err)
	defer c.Close()
	_, err = c.Do(t.Context(), &Request{Service: "lotdesk", Method: "GET", Path: "/lots/1", Idempotent: true})
	is.NoErr(err)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(dialled, []string{"host:1", d.a.address()})
	is.Equal(d.b.lookupCount(), 1)
	is.Equal(d.a.lookupCount(), 0)
}
