// Package eventlog writes one key=value line for each event without ever blocking the caller. A full pipe or a burst of events costs
// lines, which are counted, not requests.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// queuedLines are kept while the output does not take them.
	queuedLines = 2048
	// linesPerSecond bounds each kind of event. A host serves fewer requests than that in ordinary operation, so all are logged.
	linesPerSecond = 300
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger *log.Logger
	lines  chan []byte
	done   chan struct{}
	lost   atomic.Int64 // lines that were left out and not yet reported
	total  atomic.Int64 // lines that were left out since the start

	mu     sync.Mutex
	second int64
	counts map[string]int
}

// New returns a log that writes to w. Fields are added to each line.
func New(w io.Writer, level log.Level, fields ...any) *Log {
	l := &Log{lines: make(chan []byte, queuedLines), done: make(chan struct{}), counts: map[string]int{}}
	l.logger = log.NewWithOptions(queue{l}, log.Options{Level: level, ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter}).With(fields...)
	go l.drain(w)
	return l
}

// queue hands lines to the goroutine that writes them.
type queue struct{ l *Log }

// Write implements io.Writer. The logger reuses its buffer, so the line is copied.
func (q queue) Write(line []byte) (int, error) {
	select {
	case q.l.lines <- append([]byte(nil), line...):
	default:
		q.l.leftOut()
	}
	return len(line), nil
}

func (l *Log) leftOut() {
	l.lost.Add(1)
	l.total.Add(1)
}

// drain writes until Close. A write error is not reported: there is nowhere to report it to.
func (l *Log) drain(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		_, _ = w.Write(line)
	}
}

// Info writes an event of ordinary operation.
func (l *Log) Info(event string, fields ...any) { l.write(log.InfoLevel, event, fields) }

// Warn writes an event that an operator should know of.
func (l *Log) Warn(event string, fields ...any) { l.write(log.WarnLevel, event, fields) }

// Debug writes an event that helps developers.
func (l *Log) Debug(event string, fields ...any) { l.write(log.DebugLevel, event, fields) }

func (l *Log) write(level log.Level, event string, fields []any) {
	if level < l.logger.GetLevel() {
		return
	}
	if !l.admit(event, time.Now().Unix()) {
		l.leftOut()
		return
	}
	if lost := l.lost.Swap(0); lost > 0 {
		l.logger.Warn("log_lines_left_out", "count", lost)
	}
	l.logger.Log(level, event, fields...)
}

// admit counts the lines of a kind of event in one second.
func (l *Log) admit(event string, second int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second = second
		clear(l.counts)
	}
	l.counts[event]++
	return l.counts[event] <= linesPerSecond
}

// LeftOut returns the number of lines that were left out since the start.
func (l *Log) LeftOut() int64 { return l.total.Load() }

// Close writes what is queued. It waits at most for the given time. No event may follow.
func (l *Log) Close(wait time.Duration) {
	close(l.lines)
	select {
	case <-l.done:
	case <-time.After(wait):
	}
}
