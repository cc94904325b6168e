package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/mattn/go-isatty"
)

// printer writes results as a table or as JSON.
type printer struct {
	w    io.Writer
	json bool
}

// table is the human-readable form of a result: a header and rows.
type table struct {
	header []string
	rows   [][]string
}

// significantDigits is the number of significant digits of printed figures. It hides the rounding errors of binary fractions.
const significantDigits = 10

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
		if f, ok := c.(float64); ok {
			row[i] = strconv.FormatFloat(f, 'g', significantDigits, 64)
		}
	}
	t.rows = append(t.rows, row)
}

// print writes v if JSON output was requested, and the table otherwise.
func (p *printer) print(v any, t *table) error {
	if p.json {
		return p.printJSON(v)
	}
	tw := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

func (p *printer) printJSON(v any) error {
	enc := json.NewEncoder(p.w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// progress shows the state of a long operation on a terminal. It writes nothing if w is not a terminal.
type progress struct {
	w       *os.File
	enabled bool
}

func newProgress(w *os.File) *progress {
	return &progress{w: w, enabled: isatty.IsTerminal(w.Fd())}
}

func (p *progress) update(format string, args ...any) {
	if p.enabled {
		fmt.Fprintf(p.w, "\r\x1b[K"+format, args...)
	}
}

func (p *progress) done() {
	if p.enabled {
		fmt.Fprint(p.w, "\r\x1b[K")
	}
}
