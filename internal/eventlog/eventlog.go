// Package eventlog writes one key=value line for each event and never blocks the goroutine that logs. When the output is blocked or too
// many events come at once, lines are dropped and counted by kind, so that logging delays no request and frequent events displace no rare ones.
package eventlog

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxQueuedLines is the number of lines that are buffered while the output is blocked.
	maxQueuedLines = 2048
	// maxLinesPerSecond limits the lines of each kind. In normal operation a host serves fewer requests per second, so that all requests are logged.
	maxLinesPerSecond = 300
	// reportInterval is the least interval between two log_lines_left_out lines.
	reportInterval = time.Second
	// maxReportedKinds is the number of kinds that such a line names.
	maxReportedKinds = 12
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	base    *log.Logger // writes nothing; the loggers of the kinds are made from it
	loggers sync.Map    // kind -> *log.Logger
	lines   chan queuedLine
	done    chan struct{}
	dropped atomic.Int64 // lines dropped since the start

	closing sync.RWMutex // held for writing while closed changes, and for reading while a line is queued
	closed  bool         // lines is closed

	mu            sync.Mutex
	countedSecond int64            // Unix time to which counts belong
	counts        map[string]int   // events in this second, by kind
	queued        map[string]int   // buffered lines by kind
	unreported    map[string]int64 // dropped lines by kind that no log_lines_left_out event has reported yet
}

// queuedLine is a buffered line.
type queuedLine struct {
	kind string
	text []byte
}

// New returns a log that writes to w and starts its goroutine, which runs until Close. The fields, alternating keys and values, are
// added to each line.
func New(w io.Writer, level log.Level, fields ...any) *Log {
	l := &Log{lines: make(chan queuedLine, maxQueuedLines), done: make(chan struct{}), counts: map[string]int{}, queued: map[string]int{},
		unreported: map[string]int64{}}
	options := log.Options{Level: level, ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter}
	l.base = log.NewWithOptions(io.Discard, options).With(fields...)
	go l.writeLines(w)
	return l
}

// lineQueue is the io.Writer of the logger of one kind. It queues its lines for the goroutine that writes to the output.
type lineQueue struct {
	l    *Log
	kind string
}

// Write implements io.Writer. It drops the line if more lines of its kind are buffered than there is room left for others. Thus some room is always
// left for kinds of which no line is buffered. The line is copied because the logger reuses its memory.
func (q lineQueue) Write(line []byte) (int, error) {
	q.l.mu.Lock()
	defer q.l.mu.Unlock()
	if q.l.queued[q.kind] >= cap(q.l.lines)-len(q.l.lines) {
		q.l.countDroppedLocked(q.kind)
		return len(line), nil
	}
	q.l.queued[q.kind]++
	q.l.lines <- queuedLine{q.kind, bytes.Clone(line)} // does not block: there is room, and others queue lines only under the same lock
	return len(line), nil
}

// countDroppedLocked counts a dropped line. l.mu must be held.
func (l *Log) countDroppedLocked(kind string) {
	l.unreported[kind]++
	l.dropped.Add(1)
}

// writeLines writes the buffered lines to w, and reports what was dropped, until Close is called. Write errors are ignored because there is no other
// output that could report them.
func (l *Log) writeLines(w io.Writer) {
	defer close(l.done)
	var report bytes.Buffer
	reports := l.base.With()
	reports.SetOutput(&report)
	reportDropped := func() {
		l.reportDropped(reports)
		_, _ = report.WriteTo(w)
	}
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case line, ok := <-l.lines:
			if !ok {
				reportDropped()
				return
			}
			_, _ = w.Write(line.text)
			l.mu.Lock()
			if l.queued[line.kind]--; l.queued[line.kind] == 0 {
				delete(l.queued, line.kind)
			}
			l.mu.Unlock()
		case <-tick.C:
			reportDropped()
		}
	}
}

// reportDropped logs how many lines of which kinds were dropped since the last report, the most frequent first.
func (l *Log) reportDropped(reports *log.Logger) {
	l.mu.Lock()
	dropped := maps.Clone(l.unreported)
	clear(l.unreported)
	l.mu.Unlock()
	if len(dropped) == 0 {
		return
	}
	total := int64(0)
	for _, n := range dropped {
		total += n
	}
	kinds := slices.SortedFunc(maps.Keys(dropped), func(a, b string) int {
		return cmp.Or(cmp.Compare(dropped[b], dropped[a]), strings.Compare(a, b))
	})
	var text []string
	for _, kind := range kinds[:min(maxReportedKinds, len(kinds))] {
		text = append(text, fmt.Sprint(kind, ":", dropped[kind]))
	}
	reports.Warn("log_lines_left_out", "count", total, "kinds", len(kinds), "events", strings.Join(text, " "))
}

// Info logs an event of normal operation.
func (l *Log) Info(event string, fields ...any) { l.write(log.InfoLevel, event, event, fields) }

// InfoOf logs an event of normal operation, of which there are kinds that are limited on their own: many served requests must not displace the lines
// of those that fail. There must be few kinds.
func (l *Log) InfoOf(kind, event string, fields ...any) {
	l.write(log.InfoLevel, event+"."+kind, event, fields)
}

// Warn logs an event that operators should know about.
func (l *Log) Warn(event string, fields ...any) { l.write(log.WarnLevel, event, event, fields) }

// Debug logs an event that helps developers.
func (l *Log) Debug(event string, fields ...any) { l.write(log.DebugLevel, event, event, fields) }

func (l *Log) write(level log.Level, kind, event string, fields []any) {
	if level < l.base.GetLevel() {
		return
	}
	l.closing.RLock()
	defer l.closing.RUnlock()
	if l.closed || !l.allow(kind, time.Now().Unix()) {
		l.mu.Lock()
		l.countDroppedLocked(kind)
		l.mu.Unlock()
		return
	}
	l.loggerOf(kind).Log(level, event, fields...)
}

// loggerOf returns the logger of the lines of a kind.
func (l *Log) loggerOf(kind string) *log.Logger {
	if logger, ok := l.loggers.Load(kind); ok {
		return logger.(*log.Logger)
	}
	logger := l.base.With()
	logger.SetOutput(lineQueue{l, kind})
	kept, _ := l.loggers.LoadOrStore(kind, logger)
	return kept.(*log.Logger)
}

// allow counts an event in the given second and reports whether the limit for its kind allows the line.
func (l *Log) allow(kind string, second int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.countedSecond {
		l.countedSecond = second
		clear(l.counts)
	}
	l.counts[kind]++
	return l.counts[kind] <= maxLinesPerSecond
}

// maxLibraryMessage is the maximum number of bytes that are logged of a message of a library. net/http quotes kilobytes of what an endpoint sends.
const maxLibraryMessage = 2 << 10

// LibraryOutput returns a writer for the standard library's logger. Each message becomes an event, within the limits of the other events.
func (l *Log) LibraryOutput() io.Writer { return libraryOutput{l} }

type libraryOutput struct{ l *Log }

// Write implements io.Writer.
func (o libraryOutput) Write(message []byte) (int, error) {
	o.l.Warn("library_message", "text", string(bytes.TrimSpace(message[:min(maxLibraryMessage, len(message))])))
	return len(message), nil
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
