package load

import (
	"errors"
	"math"
)

// Point is one measurement: the cost Y at the size X.
type Point struct{ X, Y float64 }

// Fit is a straight line fitted to points by least squares.
type Fit struct {
	Base     float64 // cost at size 0
	Slope    float64 // cost per unit of size
	Residual float64 // root mean square of the vertical distances of the points from the line, in the unit of the cost
	MaxX     float64 // largest measured size; costs beyond it are extrapolated
}

// NewFit fits a line to points. It returns an error unless the points have at least two different sizes.
func NewFit(points []Point) (Fit, error) {
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / float64(len(points))
		meanY += p.Y / float64(len(points))
	}
	var xx, xy float64
	f := Fit{MaxX: math.Inf(-1)}
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
		f.MaxX = max(f.MaxX, p.X)
	}
	if xx == 0 {
		return Fit{}, errors.New("fitting a line needs points of at least two different sizes")
	}
	f.Slope = xy / xx
	f.Base = meanY - f.Slope*meanX
	var squares float64
	for _, p := range points {
		d := p.Y - f.Base - f.Slope*p.X
		squares += d * d
	}
	f.Residual = math.Sqrt(squares / float64(len(points)))
	return f, nil
}

// CostAboveBase returns how much a size costs above the cost at size 0, and whether the size is larger than every measured one.
func (f Fit) CostAboveBase(x float64) (cost float64, extrapolated bool) {
	return f.Slope * x, x > f.MaxX
}
