package node

import (
	"cmp"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/usage"
)

// reportedWindows is the number of windows in the usage report.
const reportedWindows = 12

// spendInterval is the time between two updates of the server seconds.
const spendInterval = time.Second

// UsageRow is the sealed usage of one workspace in one window.
type UsageRow struct {
	WindowStart time.Time `json:"window_start"`
	Workspace   string    `json:"workspace"`
	usage.Figures
	// CorrectionOf is the start of the earlier window to which the usage belongs,
	// if it arrived after that window was sealed.
	CorrectionOf *time.Time `json:"correction_of,omitempty"`
}

// UsageReport lists the latest sealed windows, newest first.
type UsageReport struct {
	Windows []UsageRow `json:"windows"`
}

// usageReport implements operator.Report. It reads the sealed windows from the
// store.
func (n *Node) usageReport(ctx context.Context) (any, error) {
	entries, _, err := n.store.List(ctx, "usage/")
	if err != nil {
		return nil, err
	}
	report := UsageReport{Windows: []UsageRow{}}
	length := n.settings.UsageWindow()
	oldest := usage.WindowStart(time.Now(), length) - reportedWindows*int64(length/time.Second)
	for _, entry := range entries {
		var record usage.Record
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return nil, fmt.Errorf("%s: %w", entry.Key, err)
		}
		if record.Window < oldest {
			continue
		}
		report.add(record)
	}
	slices.SortFunc(report.Windows, func(a, b UsageRow) int {
		return cmp.Or(b.WindowStart.Compare(a.WindowStart), cmp.Compare(a.Workspace, b.Workspace))
	})
	return report, nil
}

// add appends the rows of one record.
func (r *UsageReport) add(record usage.Record) {
	sealed := record.Report()
	start := time.Unix(sealed.Window, 0).UTC()
	for _, f := range sealed.Figures {
		r.Windows = append(r.Windows, UsageRow{WindowStart: start, Workspace: f.Workspace,
			Figures: usage.Figures{Calls: f.Calls, PromptTokens: f.PromptTokens, OutputTokens: f.OutputTokens}})
	}
	for _, c := range sealed.Corrections {
		windowStart := time.Unix(c.Window, 0).UTC()
		r.Windows = append(r.Windows, UsageRow{WindowStart: start, Workspace: c.Workspace, CorrectionOf: &windowStart,
			Figures: usage.Figures{Calls: c.Calls, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens}})
	}
}

// SpendRow counts the backend servers of one class in a pool and failure domain.
type SpendRow struct {
	Pool          string               `json:"pool"`
	FailureDomain string               `json:"failure_domain"`
	Class         config.CapacityClass `json:"class"`
	// Servers is the current number of registered servers.
	Servers int `json:"servers"`
	// ServerSeconds is the sum over all servers of the time for which they were
	// registered since this node started, in seconds.
	ServerSeconds float64 `json:"server_seconds"`
}

// ServedRow counts the requests that this node served for one model or service
// since it started, by whether they met the objectives.
type ServedRow struct {
	Service string `json:"service"`
	Good    int64  `json:"good"`
	Bad     int64  `json:"bad"`
}

// SpendReport compares the registered backend servers with the requests served,
// as seen by one node since its start.
type SpendReport struct {
	Node      string      `json:"node"`
	StartedAt time.Time   `json:"since"`
	Servers   []SpendRow  `json:"servers"`
	Served    []ServedRow `json:"served"`
}

// spending sums the server seconds of registered servers.
type spending struct {
	mu        sync.Mutex
	startedAt time.Time
	updatedAt time.Time
	rows      map[spendKey]*SpendRow
}

type spendKey struct {
	pool, failureDomain string
	class               config.CapacityClass
}

func newSpending(now time.Time) *spending {
	return &spending{startedAt: now, updatedAt: now, rows: make(map[spendKey]*SpendRow)}
}

// update adds the time since the last call for all registered servers.
func (s *spending) update(now time.Time, snapshot *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.updatedAt).Seconds()
	s.updatedAt = now
	for _, row := range s.rows {
		row.Servers = 0
	}
	for i := range snapshot.Document.BackendServers {
		b := &snapshot.Document.BackendServers[i]
		class := cmp.Or(b.Class, config.ClassStandard)
		key := spendKey{b.Pool, b.FailureDomain, class}
		row := s.rows[key]
		if row == nil {
			row = &SpendRow{Pool: b.Pool, FailureDomain: b.FailureDomain, Class: class}
			s.rows[key] = row
		}
		row.Servers++
		row.ServerSeconds += elapsed
	}
}

// run updates the sums until ctx is canceled.
func (s *spending) run(ctx context.Context, current *config.CurrentSnapshot) {
	for ctx.Err() == nil {
		if snapshot := current.Load(); snapshot != nil {
			s.update(time.Now(), snapshot)
		}
		sleep(ctx, spendInterval)
	}
}

// spendReport implements operator.Report.
func (n *Node) spendReport(context.Context) (any, error) {
	if snapshot := n.config.Load(); snapshot != nil {
		n.spending.update(time.Now(), snapshot)
	}
	report := n.spending.report(n.settings.Name)
	addCounts := func(m *expvar.Map, set func(row *ServedRow, count int64)) {
		m.Do(func(kv expvar.KeyValue) {
			i := slices.IndexFunc(report.Served, func(r ServedRow) bool { return r.Service == kv.Key })
			if i < 0 {
				report.Served = append(report.Served, ServedRow{Service: kv.Key})
				i = len(report.Served) - 1
			}
			set(&report.Served[i], kv.Value.(*expvar.Int).Value())
		})
	}
	addCounts(n.metrics.GoodTotal, func(row *ServedRow, count int64) { row.Good = count })
	addCounts(n.metrics.BadTotal, func(row *ServedRow, count int64) { row.Bad = count })
	return report, nil
}

// report returns the report with its servers but without served requests.
func (s *spending) report(node string) SpendReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := SpendReport{Node: node, StartedAt: s.startedAt.UTC(), Servers: []SpendRow{}, Served: []ServedRow{}}
	for _, row := range s.rows {
		report.Servers = append(report.Servers, *row)
	}
	slices.SortFunc(report.Servers, func(a, b SpendRow) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Class, b.Class))
	})
	return report
}
