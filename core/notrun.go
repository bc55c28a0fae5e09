package core

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// NotRunGround names the fact that proves that an attempt has not run.
type NotRunGround string

// The grounds of NotRunProof. There are no others.
const (
	// GroundNotConnected means that there was no connection to the backend server.
	GroundNotConnected NotRunGround = "not_connected"
	// GroundNothingWritten means that no byte was written to the connection.
	GroundNothingWritten NotRunGround = "nothing_written"
	// GroundNotExecuted means that the backend server states that it did not run the request.
	GroundNotExecuted NotRunGround = "not_executed"
	// GroundWrongServer means that another backend server has the address and did not run the
	// request.
	GroundWrongServer NotRunGround = "wrong_server"
)

// ErrUnprovenRefusal is the cause of a Lost outcome if a response says that the request has not run,
// and that can't be relied on.
var ErrUnprovenRefusal = errors.New("statement that the request has not run, without its id or in a success")

// lostEvent returns the event of an attempt that was lost.
func lostEvent(cause error) string {
	if errors.Is(cause, ErrUnprovenRefusal) {
		return "unproven_refusal"
	}
	return "lost"
}

// ResponseTrace tells how a response came, for logs.
type ResponseTrace struct {
	// Reused is set if the connection had carried an exchange before, Skipped if responses to
	// other requests came first in this one.
	Reused, Skipped bool
	// ConnectionAge is the time since the connection was established.
	ConnectionAge time.Duration
	// WrittenBytes counts the bytes of the request that were written before the response was
	// read; a long body is written later.
	WrittenBytes int
}

// NotRunProof is why an attempt counts as not run, for logs and metrics.
type NotRunProof struct {
	// Server is the id of the backend server.
	Server string
	Ground NotRunGround
	// Status and Response are the zero values if there was no response.
	Status   int
	Response ResponseTrace
}

// String returns the proof as one word for a log line.
func (p NotRunProof) String() string {
	if p.Status == 0 {
		return p.Server + ":" + string(p.Ground)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%s,status=%d,age_ms=%d,written=%d", p.Server, p.Ground, p.Status, p.Response.ConnectionAge.Milliseconds(), p.Response.WrittenBytes)
	for _, flag := range []struct {
		set  bool
		name string
	}{{p.Response.Reused, ",reused"}, {p.Response.Skipped, ",skipped"}} {
		if flag.set {
			b.WriteString(flag.name)
		}
	}
	return b.String()
}

// notRunProof returns why an attempt with this outcome counts as not run; false if it may have
// run, or was not sent because its caller has left.
func notRunProof(server string, o Outcome) (NotRunProof, bool) {
	switch o := o.(type) {
	case NotSent:
		if o.Connected {
			return NotRunProof{Server: server, Ground: GroundNothingWritten}, true
		}
		return NotRunProof{Server: server, Ground: GroundNotConnected}, true
	case Refused:
		ground := GroundNotExecuted
		if o.WrongServer {
			ground = GroundWrongServer
		}
		return NotRunProof{Server: server, Ground: ground, Status: o.Status, Response: o.Response}, true
	}
	return NotRunProof{}, false
}

// promisesNotRun reports whether a status tells callers that their request has not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
