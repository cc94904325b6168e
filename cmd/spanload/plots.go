package main

import (
	"fmt"
	"image/color"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/arbutusspan/arbutusspan/internal/load"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 8 * vg.Millimeter / 2
)

// plot draws, per shape, p99 of all classes over the load in the scenario calm, and p99 per scenario.
func (e *experiment) plot() error {
	for _, shape := range e.shapes {
		if err := e.plotLoads(shape); err != nil {
			return err
		}
		if err := e.plotScenarios(shape); err != nil {
			return err
		}
	}
	return nil
}

// p99 returns the mean over all rounds, and whether there is a run.
func (e *experiment) p99(shape, scenario, policy string, percent int) (float64, bool) {
	sum, n := 0.0, 0
	for _, r := range e.rows {
		if r.shape == shape && r.scenario == scenario && r.policy == policy && r.load == percent && r.m.Class == load.AllClasses {
			sum += r.m.Latency.P99
			n++
		}
	}
	return sum / float64(max(1, n)), n > 0
}

func (e *experiment) newPlot(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s\nseed %d, mean work time %s, sigma %g", title, e.seed, e.work, e.sigma)
	p.Y.Label.Text = "p99 of answered requests, ms"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	return p
}

// policyColor keeps the reference black, because the palette has only as many colors as there are policies.
func policyColor(i int) color.Color {
	if i == 0 {
		return color.Black
	}
	return plotutil.Color(i - 1)
}

// withBound returns the names of the reference and of all variants.
func (e *experiment) withBound() []string {
	names := []string{boundPolicy}
	for _, v := range e.variants {
		names = append(names, v.name)
	}
	return names
}

func (e *experiment) plotLoads(shape string) error {
	p := e.newPlot(shape + ", calm")
	p.X.Label.Text = "load, % of capacity"
	drawn := false
	for i, policy := range e.withBound() {
		var points plotter.XYs
		for _, c := range e.cells {
			if y, ok := e.p99(shape, "calm", policy, c.load); ok && c.scenario.name == "calm" {
				points = append(points, plotter.XY{X: float64(c.load), Y: y})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, marks.Color, marks.Shape = policyColor(i), policyColor(i), plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(policy, line, marks)
		drawn = true
	}
	if !drawn {
		return nil
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(e.out, "experiment-"+shape+"-calm.png"))
}

func (e *experiment) plotScenarios(shape string) error {
	p := e.newPlot(shape + ", scenarios")
	var names []string
	var cells []cell
	for _, c := range e.cells {
		if c.scenario.name != "calm" && !slices.Contains(names, c.scenario.name) {
			names, cells = append(names, c.scenario.name), append(cells, c)
		}
	}
	if len(cells) == 0 {
		return nil
	}
	policies := e.withBound()
	for i, policy := range policies {
		var values plotter.Values
		for _, c := range cells {
			y, _ := e.p99(shape, c.scenario.name, policy, c.load)
			values = append(values, y)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = policyColor(i), 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.6, float64(len(names))-0.4 // room for the outer groups of bars
	return p.Save(plotWidth, plotHeight, filepath.Join(e.out, "experiment-"+shape+"-scenarios.png"))
}
