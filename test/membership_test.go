package test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusspan/arbutusspan/internal/host"
	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/standin"
	"github.com/arbutusspan/arbutusspan/internal/testbed"
	"github.com/arbutusspan/arbutusspan/internal/transport/platform"
)

// deployment consists of a platform stand-in, upstreams and entry hosts' daemons, each a separate process.
type deployment struct {
	t                *testing.T
	ctx              context.Context
	bin              map[string]string
	platformURL      string // the log, and the host list of the first daemon
	otherHostListURL string // the host list of all other daemons
	platform         *testbed.Process
	settings         []host.Settings
	daemons          []*testbed.Process
	hostList         []platform.Host
}

const shortAddressLifetimeMS = 500

// newDeployment starts the given numbers of daemons and of upstreams of lotdesk, and waits until each daemon lists the others as
// serving.
func newDeployment(t *testing.T, ctx context.Context, hosts, upstreams int, work string) *deployment {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	bin, err := testbed.Build(dir, "arbutusspan", "arbutusctl", "standin")
	is.NoErr(err)
	platformAddress := freeAddress(loopback(t, 2))
	platformProcess := start(t, "platform", bin["standin"], "platform", "--listen", platformAddress)
	otherAddress := freeAddress(loopback(t, 2))
	start(t, "other list", bin["standin"], "platform", "--listen", otherAddress)
	d := &deployment{t: t, ctx: ctx, bin: bin, platformURL: "http://" + platformAddress, otherHostListURL: "http://" + otherAddress,
		platform: platformProcess}
	d.hostList = startUpstreams(t, bin, 20, upstreams, 64, work)
	for i := range hosts {
		ip := loopback(t, 51+i)
		s := settingsFor(t, fmt.Sprintf("tamworth-%d", i), "tamworth-hall", ip, d.platformURL)
		s.AddressLifetimeMS = shortAddressLifetimeMS
		if i > 0 {
			s.HostListURL = d.otherHostListURL
		}
		d.settings = append(d.settings, s)
		d.hostList = append(d.hostList, platform.Host{Role: platform.RoleEntry, Name: s.Host,
			Address: fmt.Sprintf("%s:%d", ip, s.PeerPort), Zone: s.Zone, State: "live"})
	}
	is.NoErr(testbed.Eventually(ctx, func() error { return errors.Join(d.putList(d.platformURL), d.putList(d.otherHostListURL)) }))
	for i := range d.settings {
		path, err := testbed.WriteJSON(dir, d.settings[i].Host+".json", d.settings[i])
		is.NoErr(err)
		d.bin[d.settings[i].Host] = path
		d.daemons = append(d.daemons, d.startDaemon(i))
	}
	is.NoErr(testbed.Eventually(ctx, func() error {
		out, err := exec.CommandContext(ctx, bin["arbutusctl"], "--host", d.operator(0), "--token", testbed.OperatorToken,
			"contract", "apply", "-f", "../examples/trentvale.json").CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	}))
	d.awaitServing()
	return d
}

func (d *deployment) startDaemon(i int) *testbed.Process {
	name := d.settings[i].Host
	return start(d.t, name, d.bin["arbutusspan"], "--settings", d.bin[name])
}

func (d *deployment) operator(i int) string {
	return fmt.Sprintf("http://%s:%d", d.settings[i].Address, d.settings[i].OperatorPort)
}

func (d *deployment) caller(i int) string {
	return fmt.Sprintf("http://%s:%d", d.settings[i].Address, d.settings[i].CallerPort)
}

func (d *deployment) putList(base string) error {
	return testbed.PutJSON(d.ctx, base+"/v1/hosts", map[string]any{"hosts": d.hostList})
}

// awaitServing waits until the address response of each daemon lists all daemons, or four if there are more.
func (d *deployment) awaitServing() {
	d.t.Helper()
	is.New(d.t).NoErr(testbed.Eventually(d.ctx, func() error {
		for i := range d.settings {
			var a callerapi.Addresses
			if err := request(d.ctx, http.DefaultClient, http.MethodGet, d.caller(i)+"/v1/addresses?service=lotdesk", callerToken, &a); err != nil {
				return err
			}
			if len(a.Addresses) != min(4, len(d.settings)) {
				return fmt.Errorf("host %d lists %d hosts", i, len(a.Addresses))
			}
		}
		return nil
	}))
}

// request sends a request with a bearer token and decodes the response into into, unless that is nil. Any status but 200 is an error.
func request(ctx context.Context, client *http.Client, method, url, token string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: %s %.200s", method, url, resp.Status, data)
	}
	if err != nil || into == nil {
		return err
	}
	return json.Unmarshal(data, into)
}

const callerToken = "trentvale." + testbed.CustomerSecret

// operatorPost sends a POST request to a path of a daemon's operator port.
func (d *deployment) operatorPost(i int, path string) error {
	return request(d.ctx, http.DefaultClient, http.MethodPost, d.operator(i)+path, testbed.OperatorToken, nil)
}

// callerLoad is a constant load from callers that use an address response only within its lifetime and never retry a request.
type callerLoad struct {
	mu        sync.Mutex
	completed int
	byHost    map[string]int
	failures  []string
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

func (d *deployment) startLoad(callers int) *callerLoad {
	ctx, cancel := context.WithCancel(d.ctx)
	l := &callerLoad{stop: cancel, byHost: map[string]int{}}
	for c := range callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.runCaller(ctx, d, c)
		}()
	}
	return l
}

// runCaller runs one caller, which sends one request at a time over persistent connections.
func (l *callerLoad) runCaller(ctx context.Context, d *deployment, c int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	list := []callerapi.Address{}
	for i := range d.settings {
		list = append(list, callerapi.Address{Address: fmt.Sprintf("%s:%d", d.settings[i].Address, d.settings[i].CallerPort)})
	}
	var expires time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if now := time.Now(); !now.Before(expires) {
			fresh, lifetime := l.fetchAddresses(ctx, client, list)
			if len(fresh) == 0 {
				continue // an expired list is used only to fetch a new one
			}
			list, expires = fresh, now.Add(lifetime)
		}
		target := list[(c+n)%len(list)]
		if left := time.Until(expires); left <= 0 {
			continue
		}
		// net/http retries a GET by itself when the server closes the connection, unless the request has a body that cannot be rewound.
		req, err := http.NewRequest(http.MethodGet, "http://"+target.Address+"/s/lotdesk/lots/1", nil)
		if err != nil {
			panic(err)
		}
		req.Header.Set("Authorization", "Bearer "+callerToken)
		req.Body, req.ContentLength = io.NopCloser(http.NoBody), 0
		status, text := 0, ""
		resp, err := client.Do(req)
		if err == nil {
			var data []byte
			data, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			status, text = resp.StatusCode, string(data)
		}
		l.mu.Lock()
		l.completed++
		l.byHost[target.Host]++
		if err != nil || status != http.StatusOK {
			l.failures = append(l.failures, fmt.Sprintf("%s %s: status %d, error %v, %.200s", time.Now().Format("15:04:05.000"), target.Host, status, err, text))
		}
		l.mu.Unlock()
	}
}

// fetchAddresses fetches the address response of the first host that responds, and returns its addresses and their lifetime.
func (l *callerLoad) fetchAddresses(ctx context.Context, client *http.Client,
	list []callerapi.Address) ([]callerapi.Address, time.Duration) {
	for _, a := range list {
		var answer callerapi.Addresses
		err := request(ctx, client, http.MethodGet, "http://"+a.Address+"/v1/addresses?service=lotdesk", callerToken, &answer)
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses, time.Duration(answer.LifetimeMS) * time.Millisecond
		}
	}
	return nil, 0
}

func (l *callerLoad) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completed
}

// awaitMore waits until n further requests have completed, so that a stage of the test gets its load even on a slow machine.
func (l *callerLoad) awaitMore(ctx context.Context, n int) error {
	want := l.count() + n
	return testbed.Eventually(ctx, func() error {
		if got := l.count(); got < want {
			return fmt.Errorf("%d of %d requests", got, want)
		}
		return nil
	})
}

// TestReplacingHostsFailsNoRequest guards guarantee 6: no request fails while, under constant load, hosts are replaced one after
// another and then half of them at once, and an operator drains and undrains one.
func TestReplacingHostsFailsNoRequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	d := newDeployment(t, ctx, 4, 2, "5ms")
	l := d.startLoad(8)
	is.NoErr(l.awaitMore(ctx, 200))
	replace := func(group ...int) {
		for _, i := range group {
			is.NoErr(d.daemons[i].Signal(syscall.SIGTERM))
		}
		for _, i := range group {
			is.NoErr(d.daemons[i].Wait(ctx))
			d.daemons[i] = d.startDaemon(i)
		}
		d.awaitServing()
		is.NoErr(l.awaitMore(ctx, 200))
	}
	for i := range d.daemons {
		replace(i)
	}
	replace(0, 2)
	is.NoErr(d.operatorPost(0, "/v1/hosts/tamworth-1/drain"))
	is.NoErr(l.awaitMore(ctx, 200))
	is.NoErr(d.operatorPost(0, "/v1/hosts/tamworth-1/undrain"))
	d.awaitServing()
	is.NoErr(l.awaitMore(ctx, 200))
	l.stop()
	l.wg.Wait()
	t.Logf("%d requests, by host %v", l.completed, l.byHost)
	is.Equal(l.failures, nil)
}

// TestLeavingUpstreamGetsNoNewWork guards guarantee 5: 3 s after the host list of one host marks an upstream as leaving, no host sends
// it new requests. The host list of the other hosts lists it as live all the time, and that of the first host soon does so again.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	d := newDeployment(t, ctx, 4, 3, "2ms")
	l := d.startLoad(8)
	is.NoErr(l.awaitMore(ctx, 300))
	ran := func() int {
		var ids []string
		is.NoErr(testbed.GetJSON(ctx, "http://"+d.hostList[0].Address+"/standin/ran", &ids))
		return len(ids)
	}
	is.True(ran() > 0) // the upstream ran requests before
	d.hostList[0].State = "leaving"
	is.NoErr(d.putList(d.platformURL))
	is.NoErr(testbed.Eventually(ctx, func() error {
		if marked, err := d.leavingMarks(0); err != nil || marked == 0 {
			return fmt.Errorf("the upstream is not marked as leaving, error %v", err)
		}
		return nil
	}))
	markedAt := time.Now()
	d.hostList[0].State = "live"
	is.NoErr(d.putList(d.platformURL))
	time.Sleep(time.Until(markedAt.Add(3 * time.Second))) // the time that the guarantee allows
	before := ran()
	is.NoErr(l.awaitMore(ctx, 300))
	is.NoErr(testbed.PutJSON(ctx, d.platformURL+"/standin/hostlist", standin.HostListFaults{Outage: true}))
	is.NoErr(l.awaitMore(ctx, 300))
	is.Equal(ran(), before) // no new requests
	l.stop()
	l.wg.Wait()
	is.Equal(l.failures, nil)
}

// TestSlowRequestIsNotCut guards guarantee 6 for a request that takes longer than the address lifetime: a planned stop waits for it.
func TestSlowRequestIsNotCut(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := newDeployment(t, ctx, 1, 1, "900ms")
	result := d.startRequest(0)
	is.NoErr(d.daemons[0].Signal(syscall.SIGTERM))
	is.NoErr(<-result)
	is.NoErr(d.daemons[0].Wait(ctx))
}

// TestRelayedRequestIsNotCut guards guarantee 6 for a request that another host relayed to the stopping host, to which its idempotency key is
// bound.
func TestRelayedRequestIsNotCut(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := newDeployment(t, ctx, 2, 1, "1500ms") // longer than the address lifetime, and shorter than the deadline of the contract
	result := d.startRequest(1)
	is.NoErr(d.daemons[1].Signal(syscall.SIGTERM))
	is.NoErr(<-result)
	is.NoErr(d.daemons[1].Wait(ctx))
	is.True(strings.Contains(d.daemons[1].Log(), "msg=drained"))
}

// TestLastResponseOutlivesProcess guards guarantee 6 for a caller that has sent a further request on the connection when it gets the last
// response, and that reads slowly: unread bytes make the kernel reset the connection when the process ends, and the response is cut.
func TestLastResponseOutlivesProcess(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := newDeployment(t, ctx, 1, 1, "900ms")
	caller, err := net.Dial("tcp", strings.TrimPrefix(d.caller(0), "http://"))
	is.NoErr(err)
	defer caller.Close()
	const receiveBuffer = 4 << 10 // bytes; the rest of the response waits in the kernel of the host
	is.NoErr(caller.(*net.TCPConn).SetReadBuffer(receiveBuffer))
	key, body := d.keyPrefix(0)+".0123456789abcdef", strings.Repeat("lot ", 15<<10)
	_, err = fmt.Fprintf(caller, "POST /s/lotdesk/reservations HTTP/1.1\r\nHost: lots.example\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: r1\r\nContent-Length: %d\r\n\r\n%s",
		callerToken, callerapi.HeaderIdempotencyKey, key, callerapi.HeaderRequestID, len(body), body)
	is.NoErr(err)
	d.awaitInFlight()
	_, err = fmt.Fprintf(caller, "GET /s/lotdesk/lots/1 HTTP/1.1\r\nHost: lots.example\r\nAuthorization: Bearer %s\r\n\r\n", callerToken)
	is.NoErr(err)
	is.NoErr(d.daemons[0].Signal(syscall.SIGTERM))
	is.NoErr(d.daemons[0].Wait(ctx))
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(text), "POST /reservations r1 "+body)
}

// startRequest sends a request, whose key is bound to the host with the given index, to the first host and waits until it is in flight. The
// channel receives nil if the request succeeds.
func (d *deployment) startRequest(keyHost int) <-chan error {
	req, err := http.NewRequestWithContext(d.ctx, http.MethodPost, d.caller(0)+"/s/lotdesk/reservations", nil)
	is.New(d.t).NoErr(err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set(callerapi.HeaderIdempotencyKey, d.keyPrefix(keyHost)+".0123456789abcdef")
	result := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			var text []byte
			text, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				err = fmt.Errorf("%s: %s", resp.Status, text)
			}
		}
		result <- err
	}()
	d.awaitInFlight()
	return result
}

// awaitInFlight waits until one request is in flight at the first host.
func (d *deployment) awaitInFlight() {
	d.t.Helper()
	is.New(d.t).NoErr(testbed.Eventually(d.ctx, func() error {
		var v struct {
			InFlight int `json:"in_flight"`
		}
		if err := d.fetchMembers(0, &v); err != nil || v.InFlight != 1 {
			return fmt.Errorf("%d in flight, error %v", v.InFlight, err)
		}
		return nil
	}))
}

// keyPrefix returns the prefix of keys that are bound to the host with the given index.
func (d *deployment) keyPrefix(i int) string {
	d.t.Helper()
	var a callerapi.Addresses
	is.New(d.t).NoErr(request(d.ctx, http.DefaultClient, http.MethodGet, d.caller(0)+"/v1/addresses?service=lotdesk", callerToken, &a))
	at := slices.IndexFunc(a.Addresses, func(a callerapi.Address) bool { return a.Host == d.settings[i].Host })
	is.New(d.t).True(at >= 0)
	return a.Addresses[at].KeyPrefix
}

// leavingMarks returns the number of upstreams that a host has marked as leaving.
func (d *deployment) leavingMarks(i int) (int, error) {
	var answer struct {
		Marks []json.RawMessage `json:"marks"`
	}
	err := d.fetchMembers(i, &answer)
	return len(answer.Marks), err
}

// fetchMembers fetches the membership view of a host.
func (d *deployment) fetchMembers(i int, into any) error {
	return request(d.ctx, http.DefaultClient, http.MethodGet, d.operator(i)+"/v1/members", testbed.OperatorToken, into)
}

// TestSecondSignalCutsAndCounts guards against a planned stop that a second signal does not end at once, and against aborted requests
// that are missing from the log's count.
func TestSecondSignalCutsAndCounts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := newDeployment(t, ctx, 1, 1, "30s") // a request runs until its deadline
	result := d.startRequest(0)
	is.NoErr(d.daemons[0].Signal(syscall.SIGTERM))
	is.NoErr(testbed.Eventually(ctx, func() error {
		if !strings.Contains(d.daemons[0].Log(), "to=draining") {
			return fmt.Errorf("the daemon is not draining")
		}
		return nil
	}))
	is.NoErr(d.daemons[0].Signal(syscall.SIGTERM))
	is.True(d.daemons[0].Wait(ctx) != nil) // the exit code is not 0 because a request was aborted
	is.True(<-result != nil)
	is.True(strings.Contains(d.daemons[0].Log(), "requests=1"))
}

// TestStartWithoutPlatform guards against a host that waits forever for an unavailable platform: a restarted host becomes ready once
// its limit for this wait has passed.
func TestStartWithoutPlatform(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := newDeployment(t, ctx, 1, 1, "2ms")
	is.NoErr(d.daemons[0].Signal(syscall.SIGTERM))
	is.NoErr(d.daemons[0].Wait(ctx))
	d.platform.Kill()
	d.daemons[0] = d.startDaemon(0)
	is.NoErr(testbed.Eventually(ctx, func() error {
		resp, err := http.Get(d.operator(0) + "/readyz")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("readyz: %s", resp.Status)
		}
		return nil
	}))
}
