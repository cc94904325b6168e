package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/arbutusspan/arbutusspan/platform/benchjournal"
)

func reportCommand() *cli.Command {
	return &cli.Command{Name: "report", ArgsUsage: "DIR",
		Usage: "write a page with plots of score, worth, prices and calls to the store over the commits, from the bench's journal in DIR",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Value: "bin/journal-report", Usage: "write `PREFIX`.md and PREFIX.png"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fmt.Errorf("%d arguments: name one journal directory", c.Args().Len())
			}
			entries, skipped, err := benchjournal.Load(c.Args().First())
			if err != nil {
				return err
			}
			root, out := c.String("root"), c.String("out")
			if err := os.MkdirAll(filepath.Dir(out), 0o755); err != nil {
				return err
			}
			reports := siteReports(entries)
			if len(reports) > 0 {
				if err := drawReports(out+".png", reports); err != nil {
					return err
				}
			}
			command := fmt.Sprintf("spanload report %s --out %s", c.Args().First(), out)
			page := reportPage(command, filepath.Base(out)+".png", reports, skipped, func(commit string) string { return commitSubject(ctx, root, commit) })
			if err := os.WriteFile(out+".md", []byte(page), 0o644); err != nil {
				return err
			}
			fmt.Printf("%s.md: %d entries of %d sites, %d files without a result\n", out, len(entries), len(reports), len(skipped))
			return nil
		}}
}

// siteReport holds the results of one site.
type siteReport struct {
	site string
	rows []*reportRow // ordered by commit, then by first play
}

// reportRow holds the runs of one released commit, or of one trial or other purpose.
type reportRow struct {
	number  int // of the commit at this site, from 1
	first   *benchjournal.Entry
	mark    string             // what sets the row apart from those of commits, or ""
	scores  []float64          // of full scores
	full    []benchjournal.Day // standard days of full scores
	days    []benchjournal.Day // all
	changes []float64          // of worth, against the newest earlier play of the same day on a released commit
}

// siteReports groups entries, which are ordered by time, by site and commit.
func siteReports(entries []*benchjournal.Entry) []*siteReport {
	var reports []*siteReport
	type play struct {
		commit string
		worth  float64
	}
	earlier := map[string][]play{} // on released commits, by day
	for _, e := range entries {
		i := slices.IndexFunc(reports, func(r *siteReport) bool { return r.site == e.Site })
		if i < 0 {
			i = len(reports)
			reports = append(reports, &siteReport{site: e.Site})
		}
		row := reports[i].row(e)
		if e.FullScore() {
			row.scores = append(row.scores, *e.Score)
		}
		row.days = append(row.days, e.Days...)
		for _, d := range e.Days {
			if d.Key == "" {
				continue // drawn for this run
			}
			if e.FullScore() {
				row.full = append(row.full, d)
			}
			key := e.Site + "/" + d.Key
			for _, p := range slices.Backward(earlier[key]) {
				if p.commit != e.Commit || !e.Released() {
					row.changes = append(row.changes, d.Worth-p.worth)
					break
				}
			}
			if e.Released() {
				earlier[key] = append(earlier[key], play{e.Commit, d.Worth})
			}
		}
	}
	for _, s := range reports {
		slices.SortStableFunc(s.rows, func(a, b *reportRow) int { return cmp.Compare(a.number, b.number) })
	}
	return reports
}

// markOf returns what sets a run apart from those of released commits, or "".
func markOf(e *benchjournal.Entry) string {
	switch {
	case e.Trial():
		return "trial"
	case e.Uncommitted:
		return "uncommitted sources"
	}
	return ""
}

// row returns the row of an entry, which is a new one for a new commit or trial.
func (s *siteReport) row(e *benchjournal.Entry) *reportRow {
	number := 0 // the greatest one, then that of the commit
	for _, r := range s.rows {
		number = max(number, r.number)
		if r.first.Commit == e.Commit && r.mark == markOf(e) && (r.mark == "" || r.first.Purpose == e.Purpose) {
			return r
		}
	}
	number++
	if i := slices.IndexFunc(s.rows, func(r *reportRow) bool { return r.first.Commit == e.Commit }); i >= 0 {
		number = s.rows[i].number
	}
	r := &reportRow{number: number, first: e, mark: markOf(e)}
	s.rows = append(s.rows, r)
	return r
}

// dayFigure returns a figure of a day, and false if the day does not state it.
type dayFigure func(*benchjournal.Day) (float64, bool)

// The figures that are reported.
func dayScore(d *benchjournal.Day) (float64, bool)      { return d.Score, true }
func dayWorth(d *benchjournal.Day) (float64, bool)      { return d.Worth, true }
func dayPrices(d *benchjournal.Day) (float64, bool)     { return d.TotalPrice(), true }
func dayStoreCalls(d *benchjournal.Day) (float64, bool) { return d.StoreCalls() }

// figures returns the figure of each day that states it.
func figures(days []benchjournal.Day, figure dayFigure) []float64 {
	var out []float64
	for i := range days {
		if v, ok := figure(&days[i]); ok {
			out = append(out, v)
		}
	}
	return out
}

// comparable returns the standard days of full scores, or all days if there is no full score.
func (r *reportRow) comparable() []benchjournal.Day {
	if len(r.full) > 0 {
		return r.full
	}
	return r.days
}

// newest returns the newest row of a released commit, or the newest one.
func (s *siteReport) newest() *reportRow {
	for _, r := range slices.Backward(s.rows) {
		if r.mark == "" {
			return r
		}
	}
	return s.rows[len(s.rows)-1]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

// commitSubject returns the subject line of a commit, or "" if the source tree does not have it.
func commitSubject(ctx context.Context, root, commit string) string {
	out, err := exec.CommandContext(ctx, "git", "-C", root, "log", "-1", "--format=%s", "--end-of-options", commit).Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(out))
}
