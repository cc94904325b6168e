package main

import (
	"errors"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Layout of the plots of a report.
const (
	reportPanelWidth  = 8 * vg.Centimeter
	reportPanelHeight = 5 * vg.Centimeter
	reportDPI         = 80
	dayRadius         = 1.5 * vg.Millimeter / 2
	fullScoreRadius   = 2 * vg.Millimeter / 2
)

var (
	dayColor       = color.Gray{Y: 150}
	trialColor     = color.RGBA{R: 230, G: 120, A: 255}
	fullScoreColor = color.RGBA{B: 200, A: 255}
)

const scoreTitle = "score"

// reportColumns are the plots of each site.
var reportColumns = []struct {
	title  string
	figure dayFigure
}{{scoreTitle, dayScore}, {"worth", dayWorth}, {"prices", dayPrices}, {"calls to the store", dayStoreCalls}}

// drawReports draws one row of plots for each site, over the numbers of its commits.
func drawReports(path string, reports []*siteReport) error {
	size := [2]vg.Length{vg.Length(len(reportColumns)) * reportPanelWidth, vg.Length(len(reports)) * reportPanelHeight}
	image := vgimg.NewWith(vgimg.UseWH(size[0], size[1]), vgimg.UseDPI(reportDPI))
	tiles := draw.Tiles{Rows: len(reports), Cols: len(reportColumns), PadX: vg.Millimeter, PadY: vg.Millimeter, PadLeft: vg.Millimeter}
	for y, s := range reports {
		for x, column := range reportColumns {
			p, err := s.plot(column.title, column.figure)
			if err != nil {
				return err
			}
			p.Draw(tiles.At(draw.New(image), x, y))
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = vgimg.PngCanvas{Canvas: image}.WriteTo(file)
	return errors.Join(err, file.Close())
}

// plot draws one figure of a site.
func (s *siteReport) plot(title string, figure dayFigure) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.site + ", " + title
	p.X.Label.Text = "commit (# in the table)"
	p.Add(plotter.NewGrid())
	var days, trials, full plotter.XYs
	for _, r := range s.rows {
		x := float64(r.number)
		for _, v := range figures(r.days, figure) {
			if r.mark != "" {
				trials = append(trials, plotter.XY{X: x, Y: v})
			} else {
				days = append(days, plotter.XY{X: x, Y: v})
			}
		}
		values := figures(r.full, figure)
		if title == scoreTitle {
			values = r.scores // in which days have different weights
		}
		if r.mark == "" && len(values) > 0 {
			full = append(full, plotter.XY{X: x, Y: mean(values)})
		}
	}
	for _, group := range []struct {
		points plotter.XYs
		style  draw.GlyphStyle
	}{{days, draw.GlyphStyle{Color: dayColor, Radius: dayRadius, Shape: draw.CircleGlyph{}}},
		{trials, draw.GlyphStyle{Color: trialColor, Radius: dayRadius, Shape: draw.RingGlyph{}}}} {
		if len(group.points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(group.points)
		if err != nil {
			return nil, err
		}
		scatter.GlyphStyle = group.style
		p.Add(scatter)
	}
	if len(full) > 0 {
		line, marks, err := plotter.NewLinePoints(full)
		if err != nil {
			return nil, err
		}
		line.Color, marks.Color, marks.Radius, marks.Shape = fullScoreColor, fullScoreColor, fullScoreRadius, draw.CircleGlyph{}
		p.Add(line, marks)
	}
	p.X.Min, p.X.Max = p.X.Min-0.5, p.X.Max+0.5 // room for the outer points
	return p, nil
}
