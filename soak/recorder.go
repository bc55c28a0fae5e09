package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/figweir/figweir/platform/backendsim"
)

// Recorder records the requests of callers, the runs at backend servers and the
// reported usage, and checks them against the guaranteed behavior.
type Recorder struct {
	mu            sync.Mutex
	requests      map[string]*sentRequest
	runs          map[string][]backendsim.Run
	drainingSince map[string]time.Time
	usageWindows  map[int64]string
	findings      []string
	// drainCheckSuspensions counts the active faults that may delay leaving notices.
	// Draining servers are not checked during these faults. Servers that start to drain
	// after drainCheckFrom are checked again: the nodes have had catchUpTime since the
	// last of these faults.
	drainCheckSuspensions int
	drainCheckFrom        time.Time
	// crashes counts the crashes on the current crashing part, and lateCrashing the runs with
	// it after reactBy, when all nodes must refuse such requests.
	crashes, lateCrashing int
	reactBy               time.Time
	// overlaps counts the streams on which a server still worked long after they went on elsewhere.
	overlaps int
	// lateRuns counts the requests that began to run long after their callers had left.
	lateRuns int
}

// sentRequest is one request of a caller with its result.
type sentRequest struct {
	kind, key string
	// crashPart is the part on which engines crash; empty for other requests.
	crashPart string
	sentAt    time.Time
	// leftAt is when the caller disconnected before the response; zero if it did not.
	leftAt   time.Time
	status   int
	complete bool
	problem  string
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		requests: make(map[string]*sentRequest), runs: make(map[string][]backendsim.Run),
		drainingSince: make(map[string]time.Time), usageWindows: make(map[int64]string),
	}
}

func (rec *Recorder) addRequest(id string, req *sentRequest) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests[id] = req
}

// maxDrainDelay is the time after which a draining server must not receive
// requests: 2 s, the bound of the settings, plus 0.5 s for a request that is
// already on its way to the server.
const maxDrainDelay = 2500 * time.Millisecond

// addRun records that a request runs on a backend server. A run on a server that has
// been draining for longer than maxDrainDelay is a finding, unless the check is
// suspended.
func (rec *Recorder) addRun(r backendsim.Run, b *backend) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if r.Ended {
		rec.checkOverlap(r, b)
		return
	}
	rec.runs[r.Attempt] = append(rec.runs[r.Attempt], r)
	if req := rec.requests[r.Attempt]; req != nil {
		rec.checkCallerLeft(r, req)
		if req.crashPart != "" {
			rec.checkCrashing(r, b)
		}
	}
	if at, ok := rec.drainingSince[b.id]; ok && rec.drainCheckSuspensions == 0 && time.Since(at) > maxDrainDelay && at.After(rec.drainCheckFrom) {
		rec.findings = append(rec.findings, fmt.Sprintf("request %s reached backend server %s %v after the server started to drain", r.Attempt, b.id, time.Since(at)))
	}
}

const (
	// maxRunDelay is the time after its caller has disconnected in which a request may still
	// begin to run, maxLateRuns the number of requests that may begin later.
	maxRunDelay = 500 * time.Millisecond
	maxLateRuns = 3
)

// callerLeft records that the caller of a request disconnects.
func (rec *Recorder) callerLeft(req *sentRequest) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	req.leftAt = time.Now()
}

// checkCallerLeft records a finding if requests run whose callers disconnected long before. rec.mu
// must be held.
func (rec *Recorder) checkCallerLeft(r backendsim.Run, req *sentRequest) {
	if req.leftAt.IsZero() || time.Since(req.leftAt) <= maxRunDelay {
		return
	}
	if rec.lateRuns++; rec.lateRuns == maxLateRuns+1 {
		rec.findings = append(rec.findings, fmt.Sprintf("request %s began to run on %s %v after its caller had left; %d before", r.Attempt, r.Server, time.Since(req.leftAt), maxLateRuns))
	}
}

const (
	// knownCrashes is the number of crashes on a part after which nodes must refuse requests
	// with it, within reactionTime.
	knownCrashes = 5
	reactionTime = 3 * time.Second
	// maxLateCrashing is the number of requests that may still reach servers.
	maxLateCrashing = 3
)

// beginCrashingPart starts the count of crashes for a new part.
func (rec *Recorder) beginCrashingPart() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.crashes, rec.lateCrashing, rec.reactBy = 0, 0, time.Time{}
}

// addCrash records that an engine crashed on a part.
func (rec *Recorder) addCrash() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.crashes++; rec.crashes == knownCrashes {
		rec.reactBy = time.Now().Add(reactionTime)
	}
}

// checkCrashing records a finding if requests with the crashing part still reach servers.
// Nodes that may have missed messages during a fault are not checked. rec.mu must be held.
func (rec *Recorder) checkCrashing(r backendsim.Run, b *backend) {
	now := time.Now()
	caughtUp := rec.drainCheckSuspensions == 0 && now.After(rec.drainCheckFrom.Add(reactionTime-catchUpTime))
	if rec.reactBy.IsZero() || now.Before(rec.reactBy) || !caughtUp {
		return
	}
	if rec.lateCrashing++; rec.lateCrashing == maxLateCrashing+1 {
		rec.findings = append(rec.findings, fmt.Sprintf("request %s with a part that crashes servers reached %s %v after the nodes must have reacted; %d crashes", r.Attempt, b.id, now.Sub(rec.reactBy), rec.crashes))
	}
}

const (
	// maxOverlap is the time for which a server may work on a stream that has gone on elsewhere,
	// and maxOverlaps the number of streams with a longer one: the process of the test may be
	// held up as well.
	maxOverlap  = 400 * time.Millisecond
	maxOverlaps = 3
)

// checkOverlap records a finding if servers work on streams that have long gone on elsewhere. Nodes
// and servers that may not reach each other are not checked. rec.mu must be held.
func (rec *Recorder) checkOverlap(ended backendsim.Run, b *backend) {
	if rec.drainCheckSuspensions > 0 || b.disturbed.Load() {
		return
	}
	for _, other := range rec.runs[ended.Attempt] {
		overlap := time.Duration(ended.AtMillis-other.AtMillis) * time.Millisecond
		if other.After <= ended.After || overlap <= maxOverlap {
			continue
		}
		if rec.overlaps++; rec.overlaps == maxOverlaps+1 {
			rec.findings = append(rec.findings, fmt.Sprintf("stream %s was worked on by %s %v after it went on at %s; %d before", ended.Attempt, ended.Server, overlap, other.Server, maxOverlaps))
		}
	}
}

// addFinding records a finding.
func (rec *Recorder) addFinding(text string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.findings = append(rec.findings, text)
}

// setDraining records that a server's draining state has been stored.
func (rec *Recorder) setDraining(b *backend) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.drainingSince[b.id] = time.Now()
}

// catchUpTime is the time in which nodes must read the changes that they missed
// during a fault.
const catchUpTime = 2 * time.Second

// suspendDrainCheck disables the check for requests to draining servers during a fault
// that may delay leaving notices. The caller calls resume when the fault has ended.
func (rec *Recorder) suspendDrainCheck() (resume func()) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.drainCheckSuspensions++
	return func() {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		rec.drainCheckSuspensions--
		rec.drainCheckFrom = time.Now().Add(catchUpTime)
	}
}

// handleUsageReport is the HTTP handler for usage reports. Two reports of one
// window with different figures are a finding.
func (rec *Recorder) handleUsageReport(w http.ResponseWriter, r *http.Request) {
	var report struct {
		Window int64            `json:"window_number"`
		Counts map[string]int64 `json:"counts"`
	}
	if json.NewDecoder(r.Body).Decode(&report) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	figures := fmt.Sprint(report.Counts)
	if old, ok := rec.usageWindows[report.Window]; ok && old != figures {
		rec.findings = append(rec.findings, fmt.Sprintf("window %d was reported as %s and as %s", report.Window, old, figures))
	}
	rec.usageWindows[report.Window] = figures
}

// Result is the summary of a run. Asked counts all requests. Whole counts those
// with a complete response, Refused those answered 408, 421, 429 or 503, Other the rest.
// Windows counts the usage windows that were reported.
type Result struct {
	Asked, Whole, Refused, Other, Windows int
	Findings                              []string
}

// Check checks every request of the run and returns the findings.
func (rec *Recorder) Check() Result {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := Result{Asked: len(rec.requests), Windows: len(rec.usageWindows), Findings: rec.findings}
	ids := make([]string, 0, len(rec.requests))
	for id := range rec.requests {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		req := rec.requests[id]
		switch {
		case req.complete:
			r.Whole++
		case promisesNotRun(req.status):
			r.Refused++
		default:
			r.Other++
		}
		r.Findings = append(r.Findings, rec.checkRequest(id, req)...)
	}
	for id := range rec.runs {
		if rec.requests[id] == nil {
			r.Findings = append(r.Findings, fmt.Sprintf("request %s ran but no caller sent it", id))
		}
	}
	return r
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkRequest checks the number of runs, the response, the workspace and the
// forwarded headers of one request. Safe and resumable requests may run twice.
func (rec *Recorder) checkRequest(id string, req *sentRequest) (findings []string) {
	runs := rec.runs[id]
	addFinding := func(format string, args ...any) {
		findings = append(findings, fmt.Sprintf("%s request %s: ", req.kind, id)+fmt.Sprintf(format, args...))
	}
	maxRuns := 1
	if req.kind == "safe" || req.kind == "resume" {
		maxRuns = 2
	}
	if len(runs) > maxRuns {
		addFinding("ran %d times, %d allowed", len(runs), maxRuns)
	}
	if promisesNotRun(req.status) && len(runs) > 0 {
		addFinding("status %d means that it has not run, but it ran %d times", req.status, len(runs))
	}
	if req.problem != "" {
		addFinding("%s", req.problem)
	}
	for _, run := range runs {
		if want := strings.TrimPrefix(req.key, "key-"); run.Workspace != want {
			addFinding("ran for workspace %q, but its key belongs to %q", run.Workspace, want)
		}
		if run.Key {
			addFinding("the key was forwarded to %s", run.Server)
		}
	}
	return findings
}
