package eventlog

import (
	"bytes"
	"fmt"
	stdlog "log"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// TestFullOutputBlocksNobody guards against logging calls that wait for a blocked output: lines that do not fit into the buffer must be
// dropped and counted.
func TestFullOutputBlocksNobody(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out, log.InfoLevel)
	const events = 3 * maxQueuedLines
	for range events {
		l.resetCounts()
		l.Info("request", "id", "x")
	}
	is.True(l.Dropped() >= events-maxQueuedLines-1)
	close(out.release)
	l.Close(time.Minute)
	is.True(int64(strings.Count(out.String(), "msg=request")) >= events-l.Dropped()-1)
}

// resetCounts resets the counts of the limit per event name, so that the next event of each name is logged.
func (l *Log) resetCounts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.counts)
}

// TestBoundPerKind guards against a frequent event that uses up the lines of other events: the limit must apply to each event name in
// each second.
func TestBoundPerKind(t *testing.T) {
	is := is.New(t)
	l := &Log{counts: map[string]int{}}
	for range maxLinesPerSecond {
		is.True(l.allow("request", 7))
	}
	is.True(!l.allow("request", 7))
	is.True(l.allow("endpoint", 7))
	is.True(l.allow("request", 8))
}

// TestMassesDisplaceNoRareEvents guards against lines that explain a lost request and are left out in a burst: masses of a few kinds, while the output
// is blocked, must leave room for rare kinds, and the line that reports what is left out names the kinds.
func TestMassesDisplaceNoRareEvents(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out, log.InfoLevel)
	const events = 3 * maxQueuedLines
	for n := range events {
		l.resetCounts()
		l.InfoOf("answered", "request", "id", n)
		l.Info("refused", "id", n)
	}
	for n := range 20 {
		l.InfoOf("lost_answer", "request", "id", fmt.Sprint("lost", n))
		l.Info("connection_closed", "id", n)
	}
	dropped := l.Dropped()
	close(out.release)
	l.Close(time.Minute)
	is.Equal(strings.Count(out.String(), "msg=connection_closed"), 20)
	is.Equal(strings.Count(out.String(), "msg=request id=lost"), 20)
	report := regexp.MustCompile(`msg=log_lines_left_out count=(\d+) kinds=2 events="re[a-z.]+:(\d+) re[a-z.]+:(\d+)"`).FindStringSubmatch(out.String())
	is.Equal(len(report), 4)
	is.Equal(report[1], fmt.Sprint(dropped))
	first, _ := strconv.ParseInt(report[2], 10, 64)
	second, _ := strconv.ParseInt(report[3], 10, 64)
	is.Equal(first+second, dropped)
}

// TestLines checks the format of a line, and that events below the level are not written.
func TestLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(&out, log.InfoLevel, "host", "h")
	l.Debug("hidden")
	l.Warn("store_lost", "error", "no answer")
	l.Close(time.Minute)
	is.True(strings.Contains(out.String(), `level=warn msg=store_lost host=h error="no answer"`))
	is.True(!strings.Contains(out.String(), "hidden"))
}

// TestLibraryMessages guards against messages of the standard library that are no key=value lines, have kilobytes, come without limit, or block
// the goroutine that logs: net/http reports each time that bytes follow a response, and quotes them.
func TestLibraryMessages(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	l := New(&out, log.InfoLevel)
	library := stdlog.New(l.LibraryOutput(), "", 0)
	const messages = 10 * maxLinesPerSecond
	for range messages {
		library.Printf("Unsolicited response starting with %q\n", strings.Repeat("x", 10<<10))
	}
	dropped := l.Dropped()
	l.Close(time.Minute)
	is.True(dropped > 0)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.True(int64(len(lines)) >= messages-dropped)
	for _, line := range lines {
		is.True(len(line) < maxLibraryMessage+200)
		is.True(strings.Contains(line, "msg=library_message text=\"Unsolicited response starting with ") || strings.Contains(line, "msg=log_lines_left_out"))
	}
}

// TestEventsDuringClose guards against a process that panics at its exit, and so loses the lines that are still to be written: signal
// handlers and other goroutines log while the log closes. Each of their lines must be written or counted as dropped.
func TestEventsDuringClose(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out, log.InfoLevel)
	l.Info("last_request")
	var logged atomic.Int64
	closed, stop := make(chan struct{}), make(chan struct{})
	const writers, linesBeforeClose = 4, 250 // together they fit into the part of the buffer that is for one kind
	var running sync.WaitGroup
	for range writers {
		running.Go(func() {
			for n := 0; ; n++ {
				if n == linesBeforeClose {
					<-closed
				}
				l.resetCounts()
				l.Info("during")
				logged.Add(1)
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Microsecond):
				}
			}
		})
	}
	waitUntil(t, func() bool { return logged.Load() > 10 })
	l.Close(0) // the output is blocked, so that the lines are still to be written
	close(closed)
	atClose := logged.Load()
	waitUntil(t, func() bool { return logged.Load() > atClose+100 })
	close(stop)
	running.Wait()
	close(out.release)
	<-l.done
	is.Equal(strings.Count(out.String(), "msg=last_request"), 1)
	is.Equal(int64(strings.Count(out.String(), "msg=during")), logged.Load()-l.Dropped())
	is.True(l.Dropped() > 0)
}

// waitUntil waits until the condition holds.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not hold in time")
		}
	}
}
