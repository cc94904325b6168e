package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one attempt of a client.
type attempt struct {
	id, host  string
	write     bool
	sentAt    time.Time
	status    int    // 0 without an answer
	whole     bool   // status 200 with a signature
	failure   string // why there is no answer
	answeredS float64
}

// clients send requests on new connections to random hosts, at a steady rate.
type clients struct {
	rig *rig
	mu  sync.Mutex
	all []attempt
	wg  sync.WaitGroup
}

const attemptTime = 2 * time.Second

// run sends a request every interval until the context ends.
func (c *clients) run(ctx context.Context, hosts []*gatewayHost, interval time.Duration, prefix string) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		h := hosts[rand.IntN(len(hosts))]
		c.wg.Go(func() { c.send(h, fmt.Sprintf("%s-%d", prefix, n), n%3 == 2) })
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// send makes one attempt and records it.
func (c *clients) send(h *gatewayHost, id string, write bool) {
	a := attempt{id: id, host: h.name, write: write, sentAt: time.Now()}
	method, path := "GET", readPrefix+id
	if write {
		method, path = "POST", writePrefix+id
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Attempt-Id: %s\r\nRequest-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", method, path, routeHost, id,
		attemptTime.Milliseconds())
	resp, err := exchangeRaw(h.caller, text)
	if err != nil {
		a.failure = err.Error()
	} else {
		a.status = resp.StatusCode
		a.whole = a.status == http.StatusOK && resp.Header.Get("Server-Signature") != ""
	}
	a.answeredS = time.Since(a.sentAt).Seconds()
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	c.rig.note("sent %s to %s at %s: status %d whole %t after %.3f s %s", id, h.name, a.sentAt.Format("15:04:05.000"), a.status, a.whole, a.answeredS, a.failure)
}

// exchangeRaw sends a request on a connection of its own and reads the whole answer.
func exchangeRaw(address, text string) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(attemptTime))
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// share returns the part of the attempts sent within a time that were served, and their number.
func (c *clients) share(from, to time.Time) (served float64, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	whole := 0
	for _, a := range c.all {
		if a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		n++
		if a.whole {
			whole++
		}
	}
	return float64(whole) / float64(max(1, n)), n
}
