package usage

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/figweir/figweir/billing"
)

// errRecordInvalid means that a stored window record can't be decoded.
var errRecordInvalid = errors.New("usage: invalid window record")

// Record is the sealed usage of one shard and window, as stored. It is written
// once and never changed. Reports are built from records only.
type Record struct {
	// Token is unique to the write that created the record.
	Token string `json:"token"`
	// ReportID is the ID of the report of this window to billing.
	ReportID string `json:"report_id"`
	Shard    uint32 `json:"shard"`
	Shards   uint32 `json:"shards"`
	// Window is the start of the window in seconds since the Unix epoch.
	Window        int64 `json:"window"`
	WindowSeconds int64 `json:"window_s"`
	// FirstWindow is the first sealed window of the shard.
	FirstWindow int64 `json:"first_window"`
	// Workspaces contains the workspace names. Rows refer to them by index.
	Workspaces []string `json:"workspaces,omitempty"`
	// Contributions contains the totals of this window by node incarnation.
	// Totals of this window that arrive later are compared with them.
	Contributions []Contribution `json:"contributions,omitempty"`
	// Corrections contains late usage of earlier windows that is reported with
	// this window.
	Corrections []billing.Correction `json:"corrections,omitempty"`
	// Corrected contains the totals of earlier windows that differ from the
	// record of their window, and whose difference has been reported as a
	// correction in this record or an earlier one.
	Corrected []CorrectedTotal `json:"corrected,omitempty"`
	// Withheld is true if the window is not reported: it may have been reported by an owner whose
	// record a restored store has lost.
	Withheld bool `json:"withheld,omitempty"`
	// Unreported contains the earlier windows whose reports were not confirmed
	// when the record was written.
	Unreported []int64 `json:"unreported,omitempty"`
}

// Contribution is the usage that one node incarnation counted in a window. Each
// row is {index into Workspaces, calls, prompt tokens, output tokens}. This
// compact form keeps a record of 490 nodes well below the store's size limit.
type Contribution struct {
	Incarnation string      `json:"incarnation"`
	Rows        [][4]uint64 `json:"rows"`
}

// CorrectedTotal is the part of a running total that has been reported. Window
// is the start of the window in seconds since the Unix epoch.
type CorrectedTotal struct {
	Window      int64  `json:"window"`
	Incarnation string `json:"incarnation"`
	Workspace   string `json:"workspace"`
	Figures
}

// recordKey returns the store key of a window's record. The window is padded to
// a fixed width so that keys sort by time.
func recordKey(shard uint32, window int64) string {
	return fmt.Sprintf("%s%012d", recordPrefix(shard), window)
}

func recordPrefix(shard uint32) string { return fmt.Sprintf("usage/%d/", shard) }

// decodeRecord returns errRecordInvalid if the record is malformed.
func decodeRecord(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("%w: %w", errRecordInvalid, err)
	}
	for _, c := range r.Contributions {
		for _, row := range c.Rows {
			if row[0] >= uint64(len(r.Workspaces)) {
				return nil, fmt.Errorf("%w: row refers to workspace index %d, but there are %d workspaces", errRecordInvalid, row[0], len(r.Workspaces))
			}
		}
	}
	return &r, nil
}

// setContributions sets Workspaces and Contributions to the totals of one
// window, in a deterministic order.
func (r *Record) setContributions(totals map[ledgerKey]Figures) {
	index := make(map[string]uint64)
	for key := range totals {
		index[key.workspace] = 0
	}
	r.Workspaces = slices.Sorted(maps.Keys(index))
	for i, name := range r.Workspaces {
		index[name] = uint64(i)
	}
	rows := make(map[string][][4]uint64)
	for key, f := range totals {
		rows[key.incarnation] = append(rows[key.incarnation], [4]uint64{index[key.workspace], f.Calls, f.PromptTokens, f.OutputTokens})
	}
	for _, incarnation := range slices.Sorted(maps.Keys(rows)) {
		incarnationRows := rows[incarnation]
		slices.SortFunc(incarnationRows, func(a, b [4]uint64) int { return cmp.Compare(a[0], b[0]) })
		r.Contributions = append(r.Contributions, Contribution{Incarnation: incarnation, Rows: incarnationRows})
	}
}

// contributions returns the totals of the record's window.
func (r *Record) contributions() map[ledgerKey]Figures {
	out := make(map[ledgerKey]Figures)
	for _, c := range r.Contributions {
		for _, row := range c.Rows {
			out[ledgerKey{c.Incarnation, r.Workspaces[row[0]], r.Window}] = Figures{row[1], row[2], row[3]}
		}
	}
	return out
}

// total returns one total of the record's window, or zero if it has none.
func (r *Record) total(key ledgerKey) Figures {
	i, ok := slices.BinarySearch(r.Workspaces, key.workspace)
	if !ok || key.window != r.Window {
		return Figures{}
	}
	for _, c := range r.Contributions {
		if c.Incarnation != key.incarnation {
			continue
		}
		for _, row := range c.Rows {
			if row[0] == uint64(i) {
				return Figures{row[1], row[2], row[3]}
			}
		}
	}
	return Figures{}
}

// setCorrections sets Corrections to the unreported excess of late totals,
// summed over the incarnations.
func (r *Record) setCorrections(late map[ledgerKey]Figures) {
	type sumKey struct {
		window    int64
		workspace string
	}
	sums := make(map[sumKey]Figures)
	for key, f := range late {
		k := sumKey{key.window, key.workspace}
		sums[k] = sums[k].Add(f)
	}
	for k, f := range sums {
		r.Corrections = append(r.Corrections, billing.Correction{Window: k.window, Figures: f.forBilling(k.workspace)})
	}
	slices.SortFunc(r.Corrections, func(a, b billing.Correction) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Workspace, b.Workspace))
	})
}

func (r *Record) setCorrected(corrected map[ledgerKey]Figures) {
	for key, f := range corrected {
		r.Corrected = append(r.Corrected, CorrectedTotal{key.window, key.incarnation, key.workspace, f})
	}
	slices.SortFunc(r.Corrected, func(a, b CorrectedTotal) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Workspace, b.Workspace))
	})
}

func (r *Record) corrected() map[ledgerKey]Figures {
	out := make(map[ledgerKey]Figures, len(r.Corrected))
	for _, c := range r.Corrected {
		out[ledgerKey{c.Incarnation, c.Workspace, c.Window}] = c.Figures
	}
	return out
}

// Report returns the report of the window. Equal records give equal reports.
func (r *Record) Report() billing.Report {
	sums := make([]Figures, len(r.Workspaces))
	for _, c := range r.Contributions {
		for _, row := range c.Rows {
			sums[row[0]] = sums[row[0]].Add(Figures{row[1], row[2], row[3]})
		}
	}
	report := billing.Report{
		ID: r.ReportID, Shard: r.Shard, Shards: r.Shards, Window: r.Window, WindowSeconds: r.WindowSeconds,
		Figures: make([]billing.Figures, len(sums)), Corrections: r.Corrections,
	}
	for i, f := range sums {
		report.Figures[i] = f.forBilling(r.Workspaces[i])
	}
	return report
}

func (f Figures) forBilling(workspace string) billing.Figures {
	return billing.Figures{Workspace: workspace, Calls: f.Calls, PromptTokens: f.PromptTokens, OutputTokens: f.OutputTokens}
}
