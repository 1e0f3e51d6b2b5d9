package scale

import (
	"fmt"
	"strings"
)

// Markdown returns a table of the slopes, with the minimum and the median at each size.
func (s *Slopes) Markdown() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d cores, %d MB, %s; %d repetitions, minimum / median.\n", s.Machine.Cores, s.Machine.MemoryMB, s.Machine.Go, s.Repeats)
	dimension := ""
	for _, slope := range s.Slopes {
		if slope.Dimension != dimension {
			dimension = slope.Dimension
			fmt.Fprintf(&text, "\n| cost by %s | unit |", dimension)
			for _, p := range slope.Points {
				fmt.Fprintf(&text, " %d |", p.Size)
			}
			fmt.Fprintf(&text, " per 1,000 | exponent | residual |\n| --- | --- |%s\n", strings.Repeat(" --- |", len(slope.Points)+3))
		}
		fmt.Fprintf(&text, "| %s | %s |", slope.Name, slope.Unit)
		for _, p := range slope.Points {
			fmt.Fprintf(&text, " %s / %s |", formatNumber(p.Min), formatNumber(p.Median))
		}
		fmt.Fprintf(&text, " %s | %.2f | %.0f%% |\n", formatNumber(slope.PerThousand), slope.Exponent, 100*slope.Residual)
	}
	return text.String()
}

// formatNumber formats a number with at most three significant digits.
func formatNumber(v float64) string { return fmt.Sprintf("%.3g", v) }

// Markdown returns a table of the phases and a table of the figures. Figures over their
// budget are marked.
func (r *RunResult) Markdown() string {
	var text strings.Builder
	options := r.Options
	fmt.Fprintf(&text, "%d cores, %d MB, %s; %d ingresses, %d of them real, before %d backends; %s requests a second to each real one; seed %d.\n",
		r.Machine.Cores, r.Machine.MemoryMB, r.Machine.Go, options.Ingresses, options.Real, options.Backends, formatNumber(options.Rate), options.Seed)
	text.WriteString("\n| phase | s | changes | lines | processor, % of a core | KB/s, mean | KB/s, most | worst second, MB to all | " +
		"held: median, s | p99, s | last, s | latency: p50, ms | p99, ms | worst, ms | unserved |\n| --- |" + strings.Repeat(" --- |", 14) + "\n")
	for _, p := range r.Phases {
		fmt.Fprintf(&text, "| %s | %s | %d | %d |"+strings.Repeat(" %s |", 10)+" %d |\n", p.Name, formatNumber(p.Seconds), p.Changes, p.UpdatedMembers,
			formatNumber(p.CPUPercent), formatNumber(p.KBPerSecond), formatNumber(p.MaxKBPerSecond), formatNumber(p.WorstSecondMB), formatNumber(p.MedianDelay), formatNumber(p.P99Delay), formatNumber(p.LastDelay),
			formatNumber(p.Load.P50), formatNumber(p.Load.P99), formatNumber(p.Load.Worst), p.Load.Refused+p.Load.Failed+p.Load.Unanswered)
	}
	writeFigures(&text, r.Figures)
	return text.String()
}

// Markdown returns a table of the figures. Figures over their budget are marked.
func (c *ListCost) Markdown() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d cores, %d MB, %s; median of %d repetitions.\n", c.Machine.Cores, c.Machine.MemoryMB, c.Machine.Go, c.Repeats)
	writeFigures(&text, c.Figures)
	return text.String()
}

// writeFigures writes a table of figures and marks those over their budget.
func writeFigures(text *strings.Builder, figures []Figure) {
	text.WriteString("\n| figure | value | unit | budget | |\n| --- | --- | --- | --- | --- |\n")
	for _, f := range figures {
		budget, mark := "", ""
		if f.Budget != nil {
			budget = formatNumber(f.Budget.Max)
		}
		if f.OverBudget() {
			mark = "**over budget**"
		}
		fmt.Fprintf(text, "| %s | %s | %s | %s | %s |\n", f.Name, formatNumber(f.Value), f.Unit, budget, mark)
	}
}
