package scale

import (
	"math"
	"slices"
)

// Point summarizes the repeated measurements at one size.
type Point struct {
	Size   int     `json:"size"`
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
}

// Slope is one cost as a function of size, with fits through the medians.
type Slope struct {
	Name      string  `json:"name"`
	Dimension string  `json:"of"` // what the size counts: backends, tenants (customers) or connections
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	// PerThousand is the growth per 1,000 of size: the slope of the least-squares line.
	PerThousand float64 `json:"per_thousand"`
	// Exponent is that of the best-fitting power law: 1 for a cost that is proportional
	// to size. It is 0 if a median is not positive.
	Exponent float64 `json:"exponent"`
	// Residual is the root mean square error of the power law, relative to each median.
	Residual float64 `json:"residual"`
}

// newPoint summarizes the values measured at one size; values must not be empty.
func newPoint(size int, values []float64) Point {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Point{Size: size, Min: sorted[0], Median: median}
}

// fit computes PerThousand, Exponent and Residual from the points.
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

// leastSquares returns the least-squares line through the points. Its slope is 0 if all
// points have the same x.
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
