package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/arbutusspan/arbutusspan/internal/standin"
)

// Audit holds the result of comparing the outcomes that callers saw with the requests that upstreams ran.
type Audit struct {
	Sent     int
	Answered int
	Refused  map[string]int // by reason; the response said that no upstream ran the request
	Unknown  map[string]int // by reason; no response said whether an upstream ran the request
	// LostAt counts, by entry host, the unknown outcomes where the host sent no response at all.
	LostAt map[string]int
	// UnknownRan counts the requests with an unknown outcome that an upstream ran.
	UnknownRan int

	// The following counts must be 0; any other value is a violated guarantee.
	RunTwice      int      // non-idempotent requests that ran more than once
	WrongAnswers  int      // responses that are not the complete response to the request
	AnsweredUnrun int      // answered with success although no upstream ran the request
	RefusedRun    int      // refused as not run although an upstream ran it
	Strays        int      // runs of a request that is not in the plan, or that differs from the planned one in method, path or body
	Faults        []string // descriptions of the first violations, at most maxDescribedFaults
}

// maxDescribedFaults limits the number of violations that Audit describes.
const maxDescribedFaults = 10

// Off reports whether any guarantee was violated.
func (a *Audit) Off() bool {
	return a.RunTwice+a.WrongAnswers+a.AnsweredUnrun+a.RefusedRun+a.Strays > 0
}

// NewAudit compares the results of a plan with the records of all upstreams. The results are in the order of the plan.
func NewAudit(plan []Request, results []Result, records []standin.Record) *Audit {
	a := &Audit{Sent: len(plan), Refused: map[string]int{}, Unknown: map[string]int{}, LostAt: map[string]int{}}
	planned := make(map[string]*Request, len(plan))
	for i := range plan {
		planned[plan[i].ID] = &plan[i]
	}
	runs := map[string]int{}
	for _, rec := range records {
		runs[rec.RequestID]++
		if r := planned[rec.RequestID]; r == nil || !sameRequest(r, rec) {
			a.addViolation(&a.Strays, "%s %s %s was run but not planned", rec.RequestID, rec.Method, rec.Path)
		}
	}
	for i := range plan {
		a.addRequest(&plan[i], &results[i], runs[plan[i].ID])
	}
	return a
}

func sameRequest(r *Request, rec standin.Record) bool {
	sum := sha256.Sum256(r.Body)
	return r.Op.Method == rec.Method && r.Path == rec.Path && hex.EncodeToString(sum[:]) == rec.BodySHA256
}

func (a *Audit) addRequest(r *Request, res *Result, runs int) {
	if runs > 1 && !r.Op.Idempotent {
		a.addViolation(&a.RunTwice, "%s ran %d times", r.ID, runs)
	}
	switch {
	case res.Answered:
		a.Answered++
		if res.Failed {
			break // an upstream may return an error status without running the request
		}
		if res.Body != r.Want() {
			a.addViolation(&a.WrongAnswers, "%s got %q, want %q", r.ID, res.Body, r.Want())
		}
		if runs == 0 {
			a.addViolation(&a.AnsweredUnrun, "%s was answered but not run", r.ID)
		}
	case res.Ran == RanNo:
		a.Refused[res.Reason]++
		if runs > 0 {
			a.addViolation(&a.RefusedRun, "%s was refused (%s) but run", r.ID, res.Reason)
		}
	default:
		a.Unknown[res.Reason]++
		if res.Reason == NoAnswer {
			a.LostAt[res.Host]++
		}
		if runs > 0 {
			a.UnknownRan++
		}
	}
}

func (a *Audit) addViolation(count *int, format string, args ...any) {
	*count++
	if len(a.Faults) < maxDescribedFaults {
		a.Faults = append(a.Faults, fmt.Sprintf(format, args...))
	}
}

// String returns the counts as a table for the terminal, followed by the described violations.
func (a *Audit) String() string {
	var b strings.Builder
	line := func(name string, n int, note string) { fmt.Fprintf(&b, "  %-34s %7d%s\n", name, n, note) }
	line("sent", a.Sent, "")
	line("answered", a.Answered, "")
	line("refused, not run", sum(a.Refused), reasons(a.Refused))
	line("unknown to the caller", sum(a.Unknown), reasons(a.Unknown))
	line("  of these run by an upstream", a.UnknownRan, "")
	line("non-idempotent, run twice", a.RunTwice, " (has to be 0)")
	line("wrong answers", a.WrongAnswers, " (has to be 0)")
	line("answered, but not run", a.AnsweredUnrun, " (has to be 0)")
	line("refused as not run, but run", a.RefusedRun, " (has to be 0)")
	line("run, but never sent", a.Strays, " (has to be 0)")
	for _, f := range a.Faults {
		fmt.Fprintln(&b, "  fault:", f)
	}
	return b.String()
}

func sum(m map[string]int) (n int) {
	for _, v := range m {
		n += v
	}
	return n
}

func reasons(m map[string]int) string {
	var parts []string
	for name, n := range m {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return ""
	}
	return "  (" + strings.Join(parts, ", ") + ")"
}
