package testbed

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// Ledger counts checks and breaches by check name. A breach is a check that failed. Its methods may be called concurrently.
type Ledger struct {
	out   io.Writer
	names []string // checks in the order of the table

	mu       sync.Mutex
	checked  map[string]int
	breaches map[string]int
	figures  map[string]int
}

// NewLedger returns a ledger that writes breaches to out as they happen. Print lists the checks in the order of names.
func NewLedger(out io.Writer, names ...string) *Ledger {
	return &Ledger{out: out, names: names, checked: map[string]int{}, breaches: map[string]int{}, figures: map[string]int{}}
}

// Check counts one check. If ok is false, it also counts a breach and writes the formatted message.
func (l *Ledger) Check(name string, ok bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checked[name]++
	if !ok {
		l.breaches[name]++
		fmt.Fprintf(l.out, "  BREACH of %q: %s\n", name, fmt.Sprintf(format, args...))
	}
}

// Report writes a breach without counting it. Count counts such breaches.
func (l *Ledger) Report(name, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "  BREACH of %q: %s\n", name, fmt.Sprintf(format, args...))
}

// Count adds numbers of checks and breaches without writing anything.
func (l *Ledger) Count(name string, checked, breaches int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checked[name] += checked
	l.breaches[name] += breaches
}

// Add adds n to a named figure that Print lists after the checks.
func (l *Ledger) Add(figure string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.figures[figure] += n
}

// Print writes the table of checks and the figures. It returns the total number of breaches.
func (l *Ledger) Print() (total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "  %-38s %8s %8s\n", "check", "checked", "breaches")
	for _, name := range l.names {
		note := ""
		if l.checked[name] == 0 {
			note = "  not checked in this run"
		}
		fmt.Fprintf(l.out, "  %-38s %8d %8d%s\n", name, l.checked[name], l.breaches[name], note)
		total += l.breaches[name]
	}
	for _, figure := range slices.Sorted(maps.Keys(l.figures)) {
		fmt.Fprintf(l.out, "  %s: %d\n", figure, l.figures[figure])
	}
	return total
}
