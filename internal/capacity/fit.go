package capacity

import (
	"encoding/json"
	"math"

	"gonum.org/v1/gonum/stat"
)

// fit computes the least-squares line through the points and its largest residual.
func (sl *Slope) fit() {
	xs, ys := make([]float64, len(sl.Points)), make([]float64, len(sl.Points))
	for i, p := range sl.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	sl.Intercept, sl.Slope = stat.LinearRegression(xs, ys, nil, false)
	for i := range xs {
		sl.Residual = max(sl.Residual, math.Abs(ys[i]-sl.Intercept-sl.Slope*xs[i]))
	}
}

// At returns the value of the line at x, at least 0.
func (sl Slope) At(x float64) float64 { return max(0, sl.Intercept+sl.Slope*x) }

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs always encode
	}

	return b
}
