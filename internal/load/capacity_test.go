package load

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestFitFindsLine guards against a wrong slope, cost at size 0 or residual. All extrapolated capacity figures depend on them.
func TestFitFindsLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		base, slope := rapid.Float64Range(-1e3, 1e3).Draw(t, "base"), rapid.Float64Range(-1e3, 1e3).Draw(t, "slope")
		distance := rapid.Float64Range(0, 10).Draw(t, "distance")
		var points []Point
		for x := range 5 {
			// The two points at each size lie at the same distance above and below the line, so that the fit must find this line.
			points = append(points, Point{float64(x), base + slope*float64(x) + distance}, Point{float64(x), base + slope*float64(x) - distance})
		}
		f, err := NewFit(points)
		is.NoErr(err)
		near := func(a, b float64) bool { return math.Abs(a-b) < 1e-6 }
		is.True(near(f.Base, base) && near(f.Slope, slope) && near(f.Residual, distance))
		is.Equal(f.MaxX, 4.0)
	})
}

// TestFitMarksExtrapolation guards against extrapolated figures that are reported as measured ones.
func TestFitMarksExtrapolation(t *testing.T) {
	is := is.New(t)
	f, err := NewFit([]Point{{1, 12}, {3, 16}})
	is.NoErr(err)
	cost, extrapolated := f.CostAboveBase(3)
	is.Equal(cost, 6.0)
	is.True(!extrapolated)
	_, extrapolated = f.CostAboveBase(3.5)
	is.True(extrapolated)
}

// TestFitNeedsTwoSizes guards against a line fitted to measurements of a single size, which leave its slope undetermined.
func TestFitNeedsTwoSizes(t *testing.T) {
	is := is.New(t)
	for _, points := range [][]Point{nil, {{1, 2}}, {{1, 2}, {1, 3}}} {
		_, err := NewFit(points)
		is.True(err != nil)
	}
}
