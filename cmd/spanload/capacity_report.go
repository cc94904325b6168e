package main

import (
	"cmp"
	"errors"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/arbutusspan/arbutusspan/internal/load"
)

// measured names what was measured against what.
type measured struct{ sweep, measure string }

// points groups the rows, and returns their keys in the order of the run.
func (m *capacity) points() ([]measured, map[measured][]load.Point) {
	var keys []measured
	points := map[measured][]load.Point{}
	for _, r := range m.rows {
		k := measured{r.sweep, r.measure}
		if points[k] == nil {
			keys = append(keys, k)
		}
		points[k] = append(points[k], load.Point{X: r.x, Y: r.value})
	}
	slices.SortStableFunc(keys, func(a, b measured) int { return cmp.Compare(a.sweep, b.sweep) })
	return keys, points
}

// write writes the rows and the fits as CSV, and one plot.
func (m *capacity) write(prefix string) error {
	if err := os.MkdirAll(filepath.Dir(prefix), 0o755); err != nil {
		return err
	}
	head := fmt.Sprintf("# %s; %s; %s; %d cores; %s\n", strings.Join(os.Args, " "), time.Now().UTC().Format(time.RFC3339), runtime.Version(),
		runtime.NumCPU(), processorName())
	var rows, fits strings.Builder
	rows.WriteString(head + "sweep,size,repeat,measure,value,load_1_5_15\n")
	for _, r := range m.rows {
		fmt.Fprintf(&rows, "%s,%g,%d,%s,%.3f,%s\n", r.sweep, r.x, r.repeat, r.measure, r.value, r.loadAvg)
	}
	fits.WriteString(head + "sweep,measure,base,slope,residual,largest_size\n")
	keys, points := m.points()
	lines := map[measured]load.Fit{}
	for _, k := range keys {
		f, err := load.NewFit(points[k])
		if err != nil {
			return fmt.Errorf("%s of %s: %w", k.measure, k.sweep, err)
		}
		lines[k] = f
		fmt.Fprintf(&fits, "%s,%s,%.3f,%.6g,%.3f,%g\n", k.sweep, k.measure, f.Base, f.Slope, f.Residual, f.MaxX)
	}
	return errors.Join(os.WriteFile(prefix+".csv", []byte(rows.String()), 0o644), os.WriteFile(prefix+"-fits.csv", []byte(fits.String()), 0o644),
		drawFits(prefix+".png", keys, points, lines))
}

func processorName() string {
	data, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return "processor unknown"
	}
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(line, "model name"); ok {
			return strings.Trim(name, " \t:\n")
		}
	}
	return "processor unknown"
}

// Layout of the plot.
const (
	panelColumns = 3
	panelWidth   = 12 * vg.Centimeter
	panelHeight  = 7 * vg.Centimeter
	pointRadius  = 2
)

// plotted are the measures of the plot.
var plotted = []string{"cpu_us_per_s", "rss_kib", "_bytes_per_s", "_ms"}

// drawFits draws processor time, memory, the control bytes that grow, and the times to learn, with their lines.
func drawFits(path string, keys []measured, points map[measured][]load.Point, lines map[measured]load.Fit) error {
	keys = slices.DeleteFunc(slices.Clone(keys), func(k measured) bool {
		grows := !strings.HasSuffix(k.measure, "_bytes_per_s") || lines[k].Slope*lines[k].MaxX > 2*lines[k].Residual
		return !grows || !slices.ContainsFunc(plotted, func(suffix string) bool { return strings.HasSuffix(k.measure, suffix) })
	})
	if len(keys) == 0 {
		return nil
	}
	height := (len(keys) + panelColumns - 1) / panelColumns
	image := vgimg.New(panelColumns*panelWidth, vg.Length(height)*panelHeight)
	tiles := draw.Tiles{Rows: height, Cols: panelColumns, PadX: vg.Millimeter, PadY: vg.Millimeter}
	for i, k := range keys {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = k.sweep, k.sweep, k.measure
		xys := make(plotter.XYs, len(points[k]))
		for j, point := range points[k] {
			xys[j] = plotter.XY{X: point.X, Y: point.Y}
		}
		scatter, err := plotter.NewScatter(xys)
		if err != nil {
			return err
		}
		scatter.Radius, scatter.Color = pointRadius, color.RGBA{B: 200, A: 255}
		f := lines[k]
		line := plotter.NewFunction(func(x float64) float64 { return f.Base + f.Slope*x })
		line.XMin, line.XMax = 0, f.MaxX
		p.Add(plotter.NewGrid(), scatter, line)
		p.Draw(tiles.At(draw.New(image), i%panelColumns, i/panelColumns))
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = vgimg.PngCanvas{Canvas: image}.WriteTo(file)
	return errors.Join(err, file.Close())
}
