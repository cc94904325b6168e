package main

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/arbutusspan/arbutusspan/platform/benchjournal"
)

const reportLegend = `Grey points are days, orange rings are days of trials and of uncommitted sources, and the blue line joins the full scores, and the means
of their standard days. Worth is the value of the answered requests less the prices; both are parts of the greatest possible value. Worth, prices and
calls of a line are means over the standard days of its full scores, or over all its days if it has none. Means over different days do not compare.
*Change* does: it is the mean difference of the worth from the newest earlier play of the same day on another commit, trials and uncommitted sources
left out, with the number of days compared. A trial is compared with its own commit too.
`

const reportHeader = `| # | Commit | First play, UTC | Days | Full score | Worth | Prices | Calls to the store a day | Change | Rules broken | What |
|---|---|---|---|---|---|---|---|---|---|---|
`

// reportPage returns the page in Markdown. subject returns the subject line of a commit, or "".
func reportPage(command, image string, reports []*siteReport, skipped []benchjournal.Skipped, subject func(string) string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# What each change did\n\nWritten by `%s` from the journal of the users' bench.\n\n", command)
	if len(reports) > 0 {
		fmt.Fprintf(&b, "![score, worth, prices and calls to the store of each site](%s)\n\n%s", image, reportLegend)
	}
	for _, s := range reports {
		fmt.Fprintf(&b, "\n## %s\n\n%s", s.site, reportHeader)
		for _, r := range s.rows {
			b.WriteString(r.line(subject(r.first.Commit)))
		}
		fmt.Fprintf(&b, "\nLargest prices of commit %.7s: %s.\n", s.newest().first.Commit, strings.Join(s.largestPrices(), ", "))
	}
	if len(skipped) > 0 {
		b.WriteString("\n## Files without a result\n\n| File | Reason |\n|---|---|\n")
		for _, f := range skipped {
			fmt.Fprintf(&b, "| %s | %s |\n", f.File, tableCell(f.Reason))
		}
	}
	return b.String()
}

// line returns the row's line of the table. subject is the subject of its commit, or "".
func (r *reportRow) line(subject string) string {
	what := cmp.Or(subject, r.first.Purpose)
	if r.mark != "" {
		what = fmt.Sprintf("**%s**: %s", r.mark, r.first.Purpose)
	}
	change, broken := "", 0
	if len(r.changes) > 0 {
		change = fmt.Sprintf("%+.3f (%d)", mean(r.changes), len(r.changes))
	}
	for _, d := range r.days {
		broken += d.BrokenRules
	}
	days := r.comparable()
	columns := []string{strconv.Itoa(r.number), r.first.Commit[:min(len(r.first.Commit), shortCommit)], r.first.Started.UTC().Format("01-02 15:04"),
		strconv.Itoa(len(r.days)), meanText("%.3f", r.scores), meanText("%.3f", figures(days, dayWorth)),
		meanText("%.3f", figures(days, dayPrices)), meanText("%.0f", figures(days, dayStoreCalls)), change, strconv.Itoa(broken), tableCell(what)}
	return "| " + strings.Join(columns, " | ") + " |\n"
}

// shortCommit is the length of a commit's name in a table.
const shortCommit = 7

// maxPricesShown bounds the number of prices that are listed for a site.
const maxPricesShown = 5

// largestPrices returns the names and mean shares of the largest prices of the newest commit.
func (s *siteReport) largestPrices() []string {
	days := s.newest().comparable()
	shares := map[string]float64{}
	var names []string
	for _, d := range days {
		for _, p := range d.Prices {
			if _, known := shares[p.Name]; !known {
				names = append(names, p.Name)
			}
			shares[p.Name] += p.Share / float64(len(days))
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(shares[b], shares[a]) })
	var out []string
	for _, name := range names[:min(len(names), maxPricesShown)] {
		out = append(out, fmt.Sprintf("%s %.4f", name, shares[name]))
	}
	return out
}

// meanText formats the mean, or returns "" if there are no values.
func meanText(format string, values []float64) string {
	if len(values) == 0 {
		return ""
	}
	return fmt.Sprintf(format, mean(values))
}

// maxCellRunes bounds the text of one cell.
const maxCellRunes = 100

// tableCell returns text that can stand in a cell of a table.
func tableCell(text string) string {
	text = strings.Join(strings.Fields(strings.ReplaceAll(text, "|", "/")), " ")
	if runes := []rune(text); len(runes) > maxCellRunes {
		text = string(runes[:maxCellRunes-3]) + "..."
	}
	return text
}
