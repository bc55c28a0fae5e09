// Package apierr defines the errors that callers and operators see, and writes
// them as HTTP responses.
package apierr

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Code identifies a kind of error. Codes are part of the interface to callers
// and never change their meaning.
type Code string

// The codes that responses carry.
const (
	BadRequest       Code = "bad_request"
	Unauthorized     Code = "unauthorized"
	Forbidden        Code = "forbidden"
	NotFound         Code = "not_found"
	Conflict         Code = "conflict"
	KeyReused        Code = "idempotency_key_reused"
	InProgress       Code = "in_progress"
	OutcomeUnknown   Code = "outcome_unknown"
	OutcomeTooLarge  Code = "outcome_too_large"
	TooLarge         Code = "request_too_large"
	Overloaded       Code = "overloaded"
	DeadlineExceeded Code = "deadline_exceeded"
	Unavailable      Code = "unavailable"
	Draining         Code = "draining"
	UpstreamFailed   Code = "upstream_failed"
	Internal         Code = "internal"
)

var statusByCode = map[Code]int{
	BadRequest:       http.StatusBadRequest,
	Unauthorized:     http.StatusUnauthorized,
	Forbidden:        http.StatusForbidden,
	NotFound:         http.StatusNotFound,
	Conflict:         http.StatusConflict,
	KeyReused:        http.StatusUnprocessableEntity,
	InProgress:       http.StatusConflict,
	OutcomeUnknown:   http.StatusBadGateway,
	OutcomeTooLarge:  http.StatusConflict,
	TooLarge:         http.StatusRequestEntityTooLarge,
	Overloaded:       http.StatusTooManyRequests,
	DeadlineExceeded: http.StatusGatewayTimeout,
	Unavailable:      http.StatusServiceUnavailable,
	Draining:         http.StatusServiceUnavailable,
	UpstreamFailed:   http.StatusBadGateway,
	Internal:         http.StatusInternalServerError,
}

const (
	keyNotRun     = "not_run"
	keyRetryAfter = "retry_after"
)

// Option adds a detail to an error.
type Option func(oops.OopsErrorBuilder) oops.OopsErrorBuilder

// NotRun states that no backend server has been sent any part of the request.
// Use it only where nothing can have been sent.
func NotRun() Option {
	return func(b oops.OopsErrorBuilder) oops.OopsErrorBuilder { return b.With(keyNotRun, true) }
}

// RetryAfter tells the caller when to come back.
func RetryAfter(d time.Duration) Option {
	return func(b oops.OopsErrorBuilder) oops.OopsErrorBuilder { return b.With(keyRetryAfter, d) }
}

// New returns an error with a code and a message that the caller may read.
func New(code Code, message string, options ...Option) error {
	return build(code, message, options).New(message)
}

// Wrap returns an error with a code and a message for the caller; cause is for
// the log only.
func Wrap(cause error, code Code, message string, options ...Option) error {
	return build(code, message, options).Wrap(cause)
}

func build(code Code, message string, options []Option) oops.OopsErrorBuilder {
	b := oops.Code(string(code)).Public(message)
	for _, option := range options {
		b = option(b)
	}
	return b
}

// Body is the JSON body of an error response. The outer object has the shape
// that chat-completions clients expect.
type Body struct {
	Error Detail `json:"error"`
}

// Detail describes one error to a caller.
type Detail struct {
	Code    Code   `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	// NotRun is true only if no backend server was sent any part of the request.
	NotRun bool `json:"not_run"`
	// RetryAfterSeconds is when to come back, in seconds; 0 if unknown.
	RetryAfterSeconds int `json:"retry_after_s,omitempty"`
}

// Describe returns what a caller may see of err. An error that is not from this
// package is reported as internal, without its text.
func Describe(err error) Detail {
	var o oops.OopsError
	if !errors.As(err, &o) {
		return Detail{Code: Internal, Type: string(Internal), Message: "internal error"}
	}
	code, _ := o.Code().(string)
	if code == "" {
		code = string(Internal)
	}
	d := Detail{Code: Code(code), Type: code, Message: o.Public()}
	details := o.Context()
	d.NotRun, _ = details[keyNotRun].(bool)
	if after, ok := details[keyRetryAfter].(time.Duration); ok {
		d.RetryAfterSeconds = max(1, int(math.Ceil(after.Seconds())))
	}
	return d
}

// CodeOf returns the code of err, or Internal.
func CodeOf(err error) Code { return Describe(err).Code }

// Status returns the HTTP status for a code.
func Status(code Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Write writes err as a JSON response with the status of its code.
func Write(w http.ResponseWriter, err error) {
	d := Describe(err)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if d.RetryAfterSeconds > 0 {
		header.Set("Retry-After", strconv.Itoa(d.RetryAfterSeconds))
	}
	w.WriteHeader(Status(d.Code))
	_ = json.NewEncoder(w).Encode(Body{Error: d})
}
