package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusspan/arbutusspan/internal/testbed"
)

var header = []string{"shape", "scenario", "load_percent", "policy", "round", "class", "sent", "answered", "p50_ms", "p99_ms", "p999_ms", "goodput_per_s",
	"failed", "unknown", "refused", "measuring_requests", "other_upstream_requests", "control_bytes_per_host_s", "cores_per_host", "recovery_ms", "generator_late_p99_ms"}

func decimal(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func (r row) record() []string {
	out := []string{r.shape, r.scenario, strconv.Itoa(r.load), r.policy, strconv.Itoa(r.round), r.m.Class, strconv.Itoa(r.m.Sent), strconv.Itoa(r.m.Answered),
		decimal(r.m.Latency.P50), decimal(r.m.Latency.P99), decimal(r.m.Latency.P999), decimal(r.goodput()), strconv.Itoa(r.m.Failed), strconv.Itoa(r.m.Unknown),
		refusedText(r.m.Refused)}
	if !r.run.valid {
		return append(out, "", "", "", "", "", "")
	}
	control, recovery := "", ""
	if r.run.control >= 0 {
		control = decimal(r.run.control)
	}
	switch {
	case r.run.hasEvent && r.run.recovered:
		recovery = strconv.FormatInt(r.run.recovery.Milliseconds(), 10)
	case r.run.hasEvent:
		recovery = "not recovered"
	}
	return append(out, strconv.FormatInt(r.run.measuring, 10), strconv.FormatInt(r.run.arrivals, 10), control, decimal(r.run.cores), recovery, decimal(r.run.lateP99MS))
}

func (r row) goodput() float64 { return float64(r.m.Good) / r.length.Seconds() }

func refusedText(m map[string]int) string {
	var parts []string
	for reason, n := range m {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// summary is one class of one cell over all rounds.
type summary struct {
	first                     row // names the cell and the class
	rounds                    int
	p99Mean, p99Min, p99Max   float64 // ms
	goodputMean, lateP99MaxMS float64
}

var summaryHeader = []string{"shape", "scenario", "load_percent", "policy", "class", "rounds", "p99_mean_ms", "p99_min_ms", "p99_max_ms", "goodput_mean_per_s",
	"generator_late_p99_max_ms"}

func (s summary) record() []string {
	return []string{s.first.shape, s.first.scenario, strconv.Itoa(s.first.load), s.first.policy, s.first.m.Class, strconv.Itoa(s.rounds),
		decimal(s.p99Mean), decimal(s.p99Min), decimal(s.p99Max), decimal(s.goodputMean), decimal(s.lateP99MaxMS)}
}

// summarize sums rows up over their rounds, in the order of the first round. A class without an answer in a round counts there
// with a p99 of 0.
func summarize(rows []row) []summary {
	var out []summary
	for _, r := range rows {
		i := slices.IndexFunc(out, func(s summary) bool {
			return s.first.shape == r.shape && s.first.scenario == r.scenario && s.first.load == r.load && s.first.policy == r.policy && s.first.m.Class == r.m.Class
		})
		if i < 0 {
			i = len(out)
			out = append(out, summary{first: r, p99Min: r.m.Latency.P99})
		}
		s, p99 := &out[i], r.m.Latency.P99
		s.rounds++
		s.p99Mean += (p99 - s.p99Mean) / float64(s.rounds)
		s.p99Min, s.p99Max = min(s.p99Min, p99), max(s.p99Max, p99)
		s.goodputMean += (r.goodput() - s.goodputMean) / float64(s.rounds)
		s.lateP99MaxMS = max(s.lateP99MaxMS, r.run.lateP99MS)
	}
	return out
}

func printSummaries(all []summary) {
	fmt.Printf("\n%-10s %-9s %4s %-17s %-10s %6s %10s %9s %9s\n", "shape", "scenario", "load", "policy", "class", "rounds", "p99 mean", "smallest", "largest")
	for _, s := range all {
		fmt.Printf("%-10s %-9s %3d%% %-17s %-10s %6d %10.1f %9.1f %9.1f ms\n", s.first.shape, s.first.scenario, s.first.load, s.first.policy, s.first.m.Class,
			s.rounds, s.p99Mean, s.p99Min, s.p99Max)
	}
}

// origin describes how the results came about, as comment lines of a CSV file.
func (e *experiment) origin() string {
	return fmt.Sprintf("# %s\n# commit %s, seed %d, rounds %d, hosts %d, callers %s, queues per service %d, zone delay to upstreams %t, caller distance %s\n"+
		"# mean work time %s, sigma %g, %s, load average after the run %s\n", strings.Join(os.Args, " "), e.commit, e.seed, e.rounds, e.hosts, e.callers, e.split,
		e.zoneDelay, e.callerDistance, e.work, e.sigma, time.Now().UTC().Format(time.RFC3339), testbed.LoadAverage())
}

// commitOf returns the commit of a source tree, or "unknown". Builds carry no stamp where the toolchain is set up without it.
func commitOf(root string) string {
	head, err := exec.Command("git", "-C", root, "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	name := strings.TrimSpace(string(head))
	changed, err := exec.Command("git", "-C", root, "status", "--porcelain", "--untracked-files=no", "--", "*.go", "go.mod", "examples").Output()
	if err != nil || len(changed) > 0 {
		name += " with uncommitted changes"
	}
	return name
}

// write writes all rounds, their summary and the plots.
func (e *experiment) write() error {
	if err := os.MkdirAll(e.out, 0o755); err != nil {
		return err
	}
	all := [][]string{header}
	for _, r := range e.rows {
		all = append(all, r.record())
	}
	summaries := summarize(e.rows)
	printSummaries(summaries)
	summed := [][]string{summaryHeader}
	for _, s := range summaries {
		summed = append(summed, s.record())
	}
	origin := e.origin()
	return errors.Join(writeCSV(e.file(".csv"), origin, all), writeCSV(e.file("-summary.csv"), origin, summed), e.plot())
}

// file returns the path of a result.
func (e *experiment) file(suffix string) string { return filepath.Join(e.out, e.name+suffix) }

func writeCSV(path, comment string, records [][]string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close() // again, after an error
	if _, err := file.WriteString(comment); err != nil {
		return err
	}
	if err := csv.NewWriter(file).WriteAll(records); err != nil {
		return err
	}
	return file.Close()
}
