package scale

import (
	"fmt"
	"os"
	"time"

	"cedarseam/internal/ingress"
)

// ListCost holds the costs of a full list for an ingress that has no list yet, and the
// costs when the ingress receives the same list again.
type ListCost struct {
	Machine Machine  `json:"machine"`
	Repeats int      `json:"repeats"`
	Figures []Figure `json:"figures"`
}

// MeasureList measures the costs of the full list in a file, which has discovery's format.
func MeasureList(path string, repeats int) (*ListCost, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	config, err := controlPlaneConfig(TargetIngresses, 0)
	if err != nil {
		return nil, err
	}
	result := &ListCost{Machine: currentMachine(), Repeats: repeats}
	values := map[string][]float64{}
	for range repeats {
		before := heapInUse()
		control, err := ingress.NewControlPlane(config, nil)
		if err != nil {
			return nil, err
		}
		for _, pass := range []string{"first", "again"} {
			applied, err := control.ApplyList(text)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", path, err)
			}
			values[pass+": decode and compare"] = append(values[pass+": decode and compare"], milliseconds(applied.DecodeTime))
			values[pass+": longest hold of the loop"] = append(values[pass+": longest hold of the loop"], milliseconds(applied.MaxBatchTime))
		}
		values["memory"] = append(values["memory"], float64(heapInUse()-before)/1e6)
	}
	add := func(name, unit string, budget *Budget) {
		point := newPoint(0, values[name])
		result.Figures = append(result.Figures, Figure{name, point.Median, unit, budget})
	}
	result.Figures = append(result.Figures, Figure{"text", float64(len(text)) / 1e3, "KB", nil})
	for _, pass := range []string{"first", "again"} {
		add(pass+": decode and compare", "ms", nil)
		add(pass+": longest hold of the loop", "ms", &Budget{"hold of the loop", milliseconds(maxLoopHold), "ms"})
	}
	add("memory", "MB", &BudgetMemory)
	return result, nil
}

// maxLoopHold is the budget for the longest time that applying a list blocks the event
// loop, and so delays requests.
const maxLoopHold = 2 * time.Millisecond

// OverBudget reports whether any figure exceeds its budget.
func (c *ListCost) OverBudget() bool { return anyOverBudget(c.Figures) }
