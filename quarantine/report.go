package quarantine

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is what an operator is told about one suspicion.
type Report struct {
	SharedParts    []string `json:"shared_parts"`
	SinceSeconds   float64  `json:"since_s"`
	Crashes        int      `json:"crashes"`
	CrashedServers []string `json:"crashed_servers"`
	// HeldSeconds is the time until a request with the parts may be tried.
	HeldSeconds  float64 `json:"held_s"`
	FailedTrials int     `json:"failed_trials"`
	// Trials counts the trials of all nodes. After MaxTrials only an operator lifts the suspicion.
	Trials int `json:"trials"`
	// Stored is set if the suspicion outlives all nodes.
	Stored bool `json:"stored"`
	// Blocked counts the refusals of the node that made the report.
	Blocked uint64 `json:"blocked"`
}

// NewReport returns the report on a suspicion. servers are the ids of the crashed servers.
func NewReport(now time.Time, s *Suspicion, servers []string) Report {
	return Report{
		SharedParts: s.Parts, SinceSeconds: now.Sub(s.Since).Seconds(), Crashes: s.Crashes, CrashedServers: servers,
		HeldSeconds: max(0, s.HeldUntil.Sub(now).Seconds()), FailedTrials: s.Trials, Trials: s.Started, Stored: s.Stored, Blocked: s.Blocked,
	}
}

// WriteReports writes reports as a table.
func WriteReports(w io.Writer, reports []Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SHARED PARTS\tSINCE\tCRASHES\tTRIAL IN\tTRIALS\tFAILED TRIALS\tSTORED\tREFUSED HERE\tCRASHED SERVERS")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%.0fs\t%d\t%.0fs\t%d of %d\t%d\t%t\t%d\t%s\n", strings.Join(r.SharedParts, ","), r.SinceSeconds, r.Crashes,
			r.HeldSeconds, r.Trials, MaxTrials, r.FailedTrials, r.Stored, r.Blocked, strings.Join(r.CrashedServers, ","))
	}
	return table.Flush()
}
