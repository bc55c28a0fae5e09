// Package billing is a stand-in for the platform's usage-report service. It records
// every report with its sender and fencing token.
package billing

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figweir/figweir/billing"
)

// maxReportBytes limits the body of a report. 2,300 workspaces take about 250 KB.
const maxReportBytes = 4 << 20

// Received is a report with the sender and the fencing token from its headers.
type Received struct {
	Sender string         `json:"sender"`
	Token  uint64         `json:"token"`
	Report billing.Report `json:"report"`
}

// Fault selects the faults of one call. The zero value means none.
type Fault struct {
	// Delay is the time to wait before the report is recorded.
	Delay time.Duration
	// Refuse answers with status 503 and does not record the report.
	Refuse bool
	// LoseAnswer records the report and closes the connection without an answer.
	LoseAnswer bool
}

// Server records reports. The zero value is ready to use. It is safe for concurrent
// use.
type Server struct {
	mu       sync.Mutex
	received []Received
	fault    func(Received) Fault
}

var _ http.Handler = (*Server)(nil)

// SetFault installs a function that is called for the faults of each report. nil
// removes it.
func (s *Server) SetFault(f func(Received) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Received returns the recorded reports in order of arrival, repetitions included.
func (s *Server) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Received(nil), s.received...)
}

// ServeHTTP records a report for POST and lists the recorded reports for GET.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != billing.ReportPath:
		http.NotFound(w, r)
	case r.Method == http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Received())
	case r.Method == http.MethodPost:
		s.receive(w, r)
	default:
		http.Error(w, "only GET and POST are supported", http.StatusMethodNotAllowed)
	}
}

// receive records one report, with the faults that the fault function selects.
func (s *Server) receive(w http.ResponseWriter, r *http.Request) {
	received := Received{Sender: r.Header.Get(billing.SenderHeader)}
	var err error
	if received.Token, err = strconv.ParseUint(r.Header.Get(billing.TokenHeader), 10, 64); err != nil {
		http.Error(w, billing.TokenHeader+" is not a number", http.StatusBadRequest)
		return
	}
	if err = json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportBytes)).Decode(&received.Report); err != nil {
		http.Error(w, "report is not valid JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	var fault Fault
	if f != nil {
		fault = f(received)
	}
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	if fault.Refuse {
		http.Error(w, "refused by the stand-in", http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.received = append(s.received, received)
	s.mu.Unlock()
	if fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}
