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

// errRecordInvalid means that a stored window record can't be read.
var errRecordInvalid = errors.New("usage: window record is not valid")

// Record is the sealed state of one shard and window, as the store holds it.
// It is written once and never changed. Everything that a report contains comes
// from it.
type Record struct {
	// Token is unique to the write that created the record.
	Token string `json:"token"`
	// ReportID identifies the report of this window to billing.
	ReportID      string `json:"report_id"`
	Shard         uint32 `json:"shard"`
	Shards        uint32 `json:"shards"`
	Window        int64  `json:"window"`
	WindowSeconds int64  `json:"window_s"`
	// FirstWindow is the first window that was ever sealed for the shard.
	FirstWindow int64 `json:"first_window"`
	// Workspaces are the names that rows refer to by index.
	Workspaces []string `json:"workspaces,omitempty"`
	// Contributions are the totals of this window, by node incarnation. They
	// are what later totals of this window are compared with.
	Contributions []Contribution `json:"contributions,omitempty"`
	// Corrections are amounts of earlier windows that are reported with this
	// window.
	Corrections []billing.Correction `json:"corrections,omitempty"`
	// Corrected are the totals of earlier windows that differ from the record
	// of their window and have been reported as corrections, here or before.
	Corrected []CorrectedTotal `json:"corrected,omitempty"`
	// Unreported are earlier windows that the writer did not know to be
	// reported.
	Unreported []int64 `json:"unreported,omitempty"`
}

// Contribution is what one node incarnation counted in a window. A row is
// {index into Workspaces, calls, prompt tokens, output tokens}; rows keep a
// record of 490 nodes well under the store's limit.
type Contribution struct {
	Incarnation string      `json:"incarnation"`
	Rows        [][4]uint64 `json:"rows"`
}

// CorrectedTotal is how much of a running total has been reported.
type CorrectedTotal struct {
	Window      int64  `json:"window"`
	Incarnation string `json:"incarnation"`
	Workspace   string `json:"workspace"`
	Figures
}

// recordKey is the store key of a window's record. Windows have a fixed width,
// so that keys sort by time.
func recordKey(shard uint32, window int64) string {
	return fmt.Sprintf("%s%012d", recordPrefix(shard), window)
}

func recordPrefix(shard uint32) string { return fmt.Sprintf("usage/%d/", shard) }

func decodeRecord(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("%w: %w", errRecordInvalid, err)
	}
	for _, c := range r.Contributions {
		for _, row := range c.Rows {
			if row[0] >= uint64(len(r.Workspaces)) {
				return nil, fmt.Errorf("%w: row refers to workspace %d of %d", errRecordInvalid, row[0], len(r.Workspaces))
			}
		}
	}
	return &r, nil
}

// setContributions stores totals of one window in a deterministic order.
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
		of := rows[incarnation]
		slices.SortFunc(of, func(a, b [4]uint64) int { return cmp.Compare(a[0], b[0]) })
		r.Contributions = append(r.Contributions, Contribution{Incarnation: incarnation, Rows: of})
	}
}

// contributions returns the totals of the record's own window.
func (r *Record) contributions() map[ledgerKey]Figures {
	out := make(map[ledgerKey]Figures)
	for _, c := range r.Contributions {
		for _, row := range c.Rows {
			out[ledgerKey{c.Incarnation, r.Workspaces[row[0]], r.Window}] = Figures{row[1], row[2], row[3]}
		}
	}
	return out
}

// total returns one total of the record's own window, zero if it has none.
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

// setCorrections stores the amounts by which late totals exceed what was
// reported, added up over incarnations.
func (r *Record) setCorrections(late map[ledgerKey]Figures) {
	type place struct {
		window    int64
		workspace string
	}
	sums := make(map[place]Figures)
	for key, f := range late {
		p := place{key.window, key.workspace}
		sums[p] = sums[p].Plus(f)
	}
	for p, f := range sums {
		r.Corrections = append(r.Corrections, billing.Correction{Window: p.window, Figures: f.forBilling(p.workspace)})
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

// Report returns the report to billing. Equal records give equal reports.
func (r *Record) Report() billing.Report {
	sums := make([]Figures, len(r.Workspaces))
	for _, c := range r.Contributions {
		for _, row := range c.Rows {
			sums[row[0]] = sums[row[0]].Plus(Figures{row[1], row[2], row[3]})
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
