package scale

import (
	"math"
	"strings"
	"testing"
)

// almostEqual reports whether got is within a thousandth of want.
func almostEqual(got, want float64) bool {
	return math.Abs(got-want) <= 1e-3*math.Max(1, math.Abs(want))
}

func TestFitFindsSlopeAndExponent(t *testing.T) {
	for name, test := range map[string]struct {
		cost     func(size float64) float64
		exponent float64
	}{
		"linear growth":    {func(size float64) float64 { return 3 * size }, 1},
		"quadratic growth": {func(size float64) float64 { return size * size / 1e3 }, 2},
		"no growth":        {func(float64) float64 { return 7 }, 0},
	} {
		s := Slope{Name: name}
		for _, size := range []int{1000, 2000, 4000, 8000} {
			s.Points = append(s.Points, newPoint(size, []float64{test.cost(float64(size))}))
		}
		s.fit()
		if !almostEqual(s.Exponent, test.exponent) || !almostEqual(s.Residual, 0) {
			t.Errorf("%s: exponent %v, residual %v; want %v and 0", name, s.Exponent, s.Residual, test.exponent)
		}
		if name == "linear growth" && !almostEqual(s.PerThousand, 3000) {
			t.Errorf("%s: %v per 1,000, want 3000", name, s.PerThousand)
		}
	}
}

func TestFitOmitsExponentForZeroCost(t *testing.T) {
	s := Slope{Points: []Point{newPoint(10, []float64{0}), newPoint(20, []float64{1})}}
	s.fit()
	if s.Exponent != 0 || s.Residual != 0 || !almostEqual(s.PerThousand, 100) {
		t.Errorf("exponent %v, residual %v, %v per 1,000; want 0, 0 and 100", s.Exponent, s.Residual, s.PerThousand)
	}
}

func TestPointKeepsMinimumAndMedian(t *testing.T) {
	if p := newPoint(5, []float64{9, 1, 4}); p != (Point{5, 1, 4}) {
		t.Errorf("an odd number of values gives %+v", p)
	}
	if p := newPoint(5, []float64{9, 1, 4, 2}); p != (Point{5, 1, 3}) {
		t.Errorf("an even number of values gives %+v", p)
	}
}

func TestSlopesMarkdown(t *testing.T) {
	slopes := Slopes{Repeats: 2, Slopes: []Slope{
		{Name: "one", Dimension: "backends", Unit: "ms", Points: []Point{{10, 1, 2}, {20, 2, 4}}},
		{Name: "two", Dimension: "tenants", Unit: "MB", Points: []Point{{30, 1, 2}}}}}
	text := slopes.Markdown()
	for _, row := range []string{"| cost by backends | unit | 10 | 20 |", "| one | ms | 1 / 2 | 2 / 4 |",
		"| cost by tenants | unit | 30 |", "| two | MB | 1 / 2 |"} {
		if !strings.Contains(text, row) {
			t.Errorf("the table lacks %q:\n%s", row, text)
		}
	}
}
