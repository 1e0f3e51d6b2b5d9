package scale

import (
	"math"
	"slices"
)

// Point is what was measured at one size, over some repetitions.
type Point struct {
	Size   int     `json:"size"`
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
}

// Slope is one cost as a function of size.
type Slope struct {
	Name      string  `json:"name"`
	Dimension string  `json:"of"` // what the size counts
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	// PerThousand is the growth for each 1,000 of size: the slope of the line of
	// least squares through the medians.
	PerThousand float64 `json:"per_thousand"`
	// Exponent is that of the power of size that fits the medians best, 1 for a
	// cost that grows evenly with size; 0 where the cost is not above nothing.
	Exponent float64 `json:"exponent"`
	// Residual is the root mean square of what the power leaves, as a part of each median.
	Residual float64 `json:"residual"`
}

// newPoint sums up the repetitions at one size; there is at least one.
func newPoint(size int, values []float64) Point {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Point{Size: size, Min: sorted[0], Median: median}
}

// fit fills in what follows from the points.
func (s *Slope) fit() {
	var sizes, values, logSizes, logValues []float64
	positive := true
	for _, p := range s.Points {
		sizes, values = append(sizes, float64(p.Size)), append(values, p.Median)
		logSizes, logValues = append(logSizes, math.Log(float64(p.Size))), append(logValues, math.Log(p.Median))
		positive = positive && p.Median > 0
	}
	slope, _ := leastSquares(sizes, values)
	s.PerThousand = slope * 1000
	if !positive {
		return
	}
	exponent, offset := leastSquares(logSizes, logValues)
	s.Exponent = exponent
	sum := 0.0
	for i, p := range s.Points {
		residual := math.Exp(offset+exponent*logSizes[i])/p.Median - 1
		sum += residual * residual
	}
	s.Residual = math.Sqrt(sum / float64(len(s.Points)))
}

// leastSquares returns the line through the points that leaves least; it is
// level through fewer than two sizes.
func leastSquares(xs, ys []float64) (slope, offset float64) {
	var meanX, meanY float64
	for i := range xs {
		meanX += xs[i] / float64(len(xs))
		meanY += ys[i] / float64(len(ys))
	}
	var covariance, variance float64
	for i := range xs {
		covariance += (xs[i] - meanX) * (ys[i] - meanY)
		variance += (xs[i] - meanX) * (xs[i] - meanX)
	}
	if variance == 0 {
		return 0, meanY
	}
	slope = covariance / variance
	return slope, meanY - slope*meanX
}
