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

// The burn rates above which a service needs attention. At 14.4, an hour uses 2%
// of the budget of 30 days; at 6, six hours use 5%. The short window of each
// pair ends the alert soon after the cause has ended. A rate can't exceed
// 1/(1 − target), so FastRate is out of reach for targets below 0.931.
const (
	FastRate = 14.4
	SlowRate = 6.0
)

// minBudget is the smallest share of bad requests that a target can allow. It
// keeps the rate finite for a target of 1.
const minBudget = 1e-6

// Alert says which pair of windows burns too fast.
type Alert string

// The alerts, the more urgent first.
const (
	// AlertFast means that the burn rates over 1 h and 5 m both exceed FastRate.
	AlertFast Alert = "fast"
	// AlertSlow means that the burn rates over 6 h and 30 m both exceed SlowRate.
	AlertSlow Alert = "slow"
	// AlertNone means neither.
	AlertNone Alert = ""
)

// WindowBurn is the burn of one window.
type WindowBurn struct {
	Seconds int64 `json:"seconds"`
	Counts
	// Rate is the share of bad requests divided by the share that the target
	// allows. At 1, the budget lasts exactly as long as the window.
	Rate float64 `json:"rate"`
}

// Row is the burn of one workspace and service.
type Row struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	// TargetRatio is the share of requests that must be good.
	TargetRatio float64                  `json:"target_ratio"`
	Windows     [len(Windows)]WindowBurn `json:"windows"`
	// BudgetLeft is the share of the error budget of the longest window that is
	// left. It is negative once the budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
	Alert      Alert   `json:"alert,omitempty"`
	// Worst is the greatest rate of any window.
	Worst float64 `json:"worst_rate"`
}

// Report is the burn of all workspaces and services, the worst first.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// TargetFunc returns the share of requests that must be good, from 0 to 1.
type TargetFunc func(workspace, service string) float64

// NewReport works out the burn of series, which may be merged from several
// nodes.
func NewReport(series []Series, target TargetFunc, at time.Time) Report {
	report := Report{At: at, Rows: make([]Row, len(series))}
	for i, s := range series {
		report.Rows[i] = newRow(s, target(s.Workspace, s.Service))
	}
	slices.SortFunc(report.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Worst, a.Worst), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service))
	})
	return report
}

func newRow(s Series, target float64) Row {
	row := Row{Workspace: s.Workspace, Service: s.Service, TargetRatio: target}
	for w, c := range s.Counts {
		rate := burnRate(c, target)
		row.Windows[w] = WindowBurn{Seconds: int64(Windows[w].Seconds()), Counts: c, Rate: rate}
		row.Worst = max(row.Worst, rate)
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

func burnRate(c Counts, target float64) float64 {
	if c.Bad == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Good+c.Bad) / max(1-target, minBudget)
}

// WriteTable writes the report as text, one line for each row.
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

// WriteJSON writes the report as one JSON document.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
