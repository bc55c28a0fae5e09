// Package billing is a stand-in for the platform's interface for usage
// reports. It records every report with its sender.
package billing

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figweir/figweir/billing"
)

// maxReportBytes bounds the body of a report: 2,300 workspaces take about 250 KB.
const maxReportBytes = 4 << 20

// Received is one report as it arrived.
type Received struct {
	Sender string         `json:"sender"`
	Token  uint64         `json:"token"`
	Report billing.Report `json:"report"`
}

// Fault says how a call misbehaves. The zero value is a normal call.
type Fault struct {
	// Delay passes before the report is recorded.
	Delay time.Duration
	// Refuse answers 503 without recording the report.
	Refuse bool
	// LoseAnswer records the report and closes the connection.
	LoseAnswer bool
}

// Server records reports. The zero value is ready to use and safe for
// concurrent use.
type Server struct {
	mu       sync.Mutex
	received []Received
	fault    func(Received) Fault
}

var _ http.Handler = (*Server)(nil)

// SetFault installs a function that decides the fault of each report; nil
// removes it.
func (s *Server) SetFault(f func(Received) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Received returns all reports in the order of arrival.
func (s *Server) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Received(nil), s.received...)
}

// ServeHTTP takes reports by POST and lists them by GET.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != billing.ReportPath:
		http.NotFound(w, r)
	case r.Method == http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Received())
	case r.Method == http.MethodPost:
		s.take(w, r)
	default:
		http.Error(w, "only GET and POST are supported", http.StatusMethodNotAllowed)
	}
}

func (s *Server) take(w http.ResponseWriter, r *http.Request) {
	got := Received{Sender: r.Header.Get(billing.SenderHeader)}
	var err error
	if got.Token, err = strconv.ParseUint(r.Header.Get(billing.TokenHeader), 10, 64); err != nil {
		http.Error(w, billing.TokenHeader+" is not a number", http.StatusBadRequest)
		return
	}
	if err = json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportBytes)).Decode(&got.Report); err != nil {
		http.Error(w, "report is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	var fault Fault
	if f != nil {
		fault = f(got)
	}
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	if fault.Refuse {
		http.Error(w, "refused by the stand-in", http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.received = append(s.received, got)
	s.mu.Unlock()
	if fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}
