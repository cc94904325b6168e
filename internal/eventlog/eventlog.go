// Package eventlog writes one key=value line for each event and never blocks the goroutine that logs. When the output is blocked or too
// many events come at once, lines are dropped and counted, so that logging delays no request.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxQueuedLines is the number of lines that are buffered while the output is blocked.
	maxQueuedLines = 2048
	// maxLinesPerSecond limits the lines of each event name. In normal operation a host serves fewer requests per second, so that all
	// requests are logged.
	maxLinesPerSecond = 300
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger     *log.Logger
	lines      chan []byte
	done       chan struct{}
	unreported atomic.Int64 // dropped lines that no log_lines_left_out event has reported yet
	dropped    atomic.Int64 // lines dropped since the start

	closing sync.RWMutex // held for writing while closed changes, and for reading while a line is queued
	closed  bool         // lines is closed

	mu            sync.Mutex
	countedSecond int64          // Unix time to which counts belong
	counts        map[string]int // events in this second, by event name
}

// New returns a log that writes to w and starts its goroutine, which runs until Close. The fields, alternating keys and values, are
// added to each line.
func New(w io.Writer, level log.Level, fields ...any) *Log {
	l := &Log{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), counts: map[string]int{}}
	l.logger = log.NewWithOptions(lineQueue{l}, log.Options{Level: level, ReportTimestamp: true, TimeFormat: "15:04:05.000",
		Formatter: log.LogfmtFormatter}).With(fields...)
	go l.writeLines(w)
	return l
}

// lineQueue is the io.Writer of the logger. It queues lines for the goroutine that writes them to the output.
type lineQueue struct{ l *Log }

// Write implements io.Writer. It drops the line if the buffer is full. The line is copied because the logger reuses its memory.
func (q lineQueue) Write(line []byte) (int, error) {
	select {
	case q.l.lines <- append([]byte(nil), line...):
	default:
		q.l.countDropped()
	}
	return len(line), nil
}

func (l *Log) countDropped() {
	l.unreported.Add(1)
	l.dropped.Add(1)
}

// writeLines writes the buffered lines to w until Close is called. Write errors are ignored because there is no other output that could
// report them.
func (l *Log) writeLines(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		_, _ = w.Write(line)
	}
}

// Info logs an event of normal operation.
func (l *Log) Info(event string, fields ...any) { l.write(log.InfoLevel, event, fields) }

// Warn logs an event that operators should know about.
func (l *Log) Warn(event string, fields ...any) { l.write(log.WarnLevel, event, fields) }

// Debug logs an event that helps developers.
func (l *Log) Debug(event string, fields ...any) { l.write(log.DebugLevel, event, fields) }

func (l *Log) write(level log.Level, event string, fields []any) {
	if level < l.logger.GetLevel() {
		return
	}
	l.closing.RLock()
	defer l.closing.RUnlock()
	if l.closed || !l.allow(event, time.Now().Unix()) {
		l.countDropped()
		return
	}
	if unreported := l.unreported.Swap(0); unreported > 0 {
		l.logger.Warn("log_lines_left_out", "count", unreported)
	}
	l.logger.Log(level, event, fields...)
}

// allow counts an event in the given second and reports whether the limit for its name allows the line.
func (l *Log) allow(event string, second int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.countedSecond {
		l.countedSecond = second
		clear(l.counts)
	}
	l.counts[event]++
	return l.counts[event] <= maxLinesPerSecond
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close waits until the buffered lines are written, but not longer than the given time. Events that are logged from then on are dropped.
// It must be called only once.
func (l *Log) Close(wait time.Duration) {
	l.closing.Lock()
	l.closed = true
	close(l.lines)
	l.closing.Unlock()
	select {
	case <-l.done:
	case <-time.After(wait):
	}
}
