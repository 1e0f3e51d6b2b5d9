package scale

import (
	"slices"
	"time"
)

// The size of the target deployment, for which capacity is planned.
const (
	TargetIngresses      = 810
	TargetBackends       = 12_000
	TargetTenants        = 32_000 // customers
	TargetRegions        = 2
	TargetZonesPerRegion = 4
)

// Budget is the upper bound of a figure.
type Budget struct {
	Name string  `json:"name"`
	Max  float64 `json:"most"`
	Unit string  `json:"unit"`
}

// The budgets at the size of the target deployment.
var (
	BudgetLatency     = Budget{"time added to 99 in 100 requests", 7.7, "ms"}
	BudgetConvergence = Budget{"time until a change is in force everywhere", 9, "s"}
	BudgetCPU         = Budget{"processor time for control, of a core", 2, "%"}
	BudgetMemory      = Budget{"memory for control", 128, "MB"}
	BudgetBytes       = Budget{"bytes received for control", 3, "KB/s"}
	BudgetUnanswered  = Budget{"requests left unanswered", 0, "requests"}
)

// Figure is a measured value. Budget is nil if the value has no bound.
type Figure struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Budget *Budget `json:"budget,omitempty"`
}

// OverBudget reports whether the figure exceeds its budget.
func (f Figure) OverBudget() bool { return f.Budget != nil && f.Value > f.Budget.Max }

// anyOverBudget reports whether any of the figures exceeds its budget.
func anyOverBudget(figures []Figure) bool { return slices.ContainsFunc(figures, Figure.OverBudget) }

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }
