package burn

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Burn rates above which an alert is raised. At 14.4, one hour consumes 2% of the
// budget of 30 days; at 6, six hours consume 5%. Each alert also requires the
// rate in a short window, so that it ends soon after its cause. A rate can't
// exceed 1/(1 − target), so FastRate can't be reached for targets below 0.931.
const (
	FastRate = 14.4
	SlowRate = 6.0
)

// minBudget is the lower limit of the share of bad requests that a target allows.
// It keeps the rate finite for a target of 1.
const minBudget = 1e-6

// Alert names the pair of windows whose burn rates are too high.
type Alert string

// The alerts, most urgent first.
const (
	// AlertFast means that the burn rates over 1 h and 5 m both exceed FastRate.
	AlertFast Alert = "fast"
	// AlertSlow means that the burn rates over 6 h and 30 m both exceed SlowRate.
	AlertSlow Alert = "slow"
	// AlertNone means that neither pair of windows exceeds its rate.
	AlertNone Alert = ""
)

// WindowBurn holds the counts and the burn rate of one window.
type WindowBurn struct {
	Seconds int64 `json:"seconds"`
	Counts
	// Rate is the share of bad requests divided by the share that the target
	// allows. At 1, the budget lasts exactly as long as the window.
	Rate float64 `json:"rate"`
}

// Row holds the burn rates of one workspace and service.
type Row struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	// TargetRatio is the share of requests that must be good, from 0 to 1.
	TargetRatio float64                  `json:"target_ratio"`
	Windows     [len(Windows)]WindowBurn `json:"windows"`
	// BudgetLeft is the remaining share of the error budget of the longest window.
	// It is negative if the budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
	Alert      Alert   `json:"alert,omitempty"`
	// WorstRate is the highest burn rate of all windows.
	WorstRate float64 `json:"worst_rate"`
}

// Report holds the burn rates of all workspaces and services, highest first.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// TargetFunc returns the share of requests that must be good, from 0 to 1.
type TargetFunc func(workspace, service string) float64

// NewReport computes the burn rates of series, which may be merged from several
// nodes.
func NewReport(series []Series, target TargetFunc, at time.Time) Report {
	report := Report{At: at, Rows: make([]Row, len(series))}
	for i, s := range series {
		report.Rows[i] = newRow(s, target(s.Workspace, s.Service))
	}
	slices.SortFunc(report.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.WorstRate, a.WorstRate), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service))
	})
	return report
}

// newRow computes the burn rates and the alert of one series.
func newRow(s Series, target float64) Row {
	row := Row{Workspace: s.Workspace, Service: s.Service, TargetRatio: target}
	for w, c := range s.Counts {
		rate := burnRate(c, target)
		row.Windows[w] = WindowBurn{Seconds: int64(Windows[w].Seconds()), Counts: c, Rate: rate}
		row.WorstRate = max(row.WorstRate, rate)
	}
	row.BudgetLeft = 1 - row.Windows[window24h].Rate
	switch {
	case row.Windows[window1h].Rate > FastRate && row.Windows[window5m].Rate > FastRate:
		row.Alert = AlertFast
	case row.Windows[window6h].Rate > SlowRate && row.Windows[window30m].Rate > SlowRate:
		row.Alert = AlertSlow
	}
	return row
}

// burnRate returns the share of bad requests divided by the share that the target
// allows.
func burnRate(c Counts, target float64) float64 {
	if c.Bad == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Good+c.Bad) / max(1-target, minBudget)
}

// WriteTable writes the report as a text table with one line per row. It returns
// the error of the writer.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WORKSPACE\tSERVICE\tTARGET\t5M\t30M\t1H\t6H\t24H\tBUDGET LEFT\tALERT")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%g", row.Workspace, row.Service, row.TargetRatio)
		for _, window := range row.Windows {
			fmt.Fprintf(table, "\t%.2f", window.Rate)
		}
		fmt.Fprintf(table, "\t%.0f%%\t%s\n", 100*row.BudgetLeft, cmp.Or(row.Alert, "-"))
	}
	return table.Flush()
}

// WriteJSON writes the report as one JSON object. It returns the error of the
// writer.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
