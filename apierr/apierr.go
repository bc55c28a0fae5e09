// Package apierr defines the errors that callers and operators receive, and writes
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

// Code identifies a kind of error. Codes are part of the API for callers: the
// meaning of a code never changes.
type Code string

// The error codes in responses. statusByCode maps them to HTTP statuses.
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
	// PromptQuarantined means that messages of the prompt crash engines.
	PromptQuarantined Code = "prompt_quarantined"
	Internal          Code = "internal"
)

// statusByCode holds the HTTP status of each code.
var statusByCode = map[Code]int{
	BadRequest:        http.StatusBadRequest,
	Unauthorized:      http.StatusUnauthorized,
	Forbidden:         http.StatusForbidden,
	NotFound:          http.StatusNotFound,
	Conflict:          http.StatusConflict,
	KeyReused:         http.StatusUnprocessableEntity,
	InProgress:        http.StatusConflict,
	OutcomeUnknown:    http.StatusBadGateway,
	OutcomeTooLarge:   http.StatusConflict,
	TooLarge:          http.StatusRequestEntityTooLarge,
	Overloaded:        http.StatusTooManyRequests,
	DeadlineExceeded:  http.StatusGatewayTimeout,
	Unavailable:       http.StatusServiceUnavailable,
	Draining:          http.StatusServiceUnavailable,
	UpstreamFailed:    http.StatusBadGateway,
	PromptQuarantined: http.StatusServiceUnavailable,
	Internal:          http.StatusInternalServerError,
}

// Keys of the details in the context of an oops error.
const (
	keyNotRun     = "not_run"
	keyRetryAfter = "retry_after"
)

// Option adds a detail to an error.
type Option func(oops.OopsErrorBuilder) oops.OopsErrorBuilder

// NotRun marks the error as not run: no part of the request was sent to a backend
// server. Use it only if nothing can have been sent.
func NotRun() Option {
	return func(b oops.OopsErrorBuilder) oops.OopsErrorBuilder { return b.With(keyNotRun, true) }
}

// RetryAfter sets the time after which the caller may retry. The response states it
// in seconds, rounded up, at least 1.
func RetryAfter(d time.Duration) Option {
	return func(b oops.OopsErrorBuilder) oops.OopsErrorBuilder { return b.With(keyRetryAfter, d) }
}

// New returns an error with a code and a message that is sent to the caller.
func New(code Code, message string, options ...Option) error {
	return build(code, message, options).New(message)
}

// Wrap returns an error with a code and a message that is sent to the caller. The
// cause is not sent; it is only for the log.
func Wrap(cause error, code Code, message string, options ...Option) error {
	return build(code, message, options).Wrap(cause)
}

// build returns a builder with the code, the message and the options.
func build(code Code, message string, options []Option) oops.OopsErrorBuilder {
	b := oops.Code(string(code)).Public(message)
	for _, option := range options {
		b = option(b)
	}
	return b
}

// Body is the JSON body of an error response, in the format that chat-completions
// clients expect.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the description of an error for the caller.
type Detail struct {
	Code    Code   `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	// NotRun is true only if no part of the request was sent to a backend server.
	NotRun bool `json:"not_run"`
	// RetryAfterSeconds is the time after which to retry, in seconds; 0 if unknown.
	RetryAfterSeconds int `json:"retry_after_s,omitempty"`
}

// Describe returns the description of err for the caller. An error that is not
// from this package is described as internal, without its text.
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

// CodeOf returns the code of err, or Internal if err is not from this package.
func CodeOf(err error) Code { return Describe(err).Code }

// Status returns the HTTP status for a code. The status of an unknown code is 500.
func Status(code Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Write writes err as a JSON response with the status of its code, and with a
// Retry-After header if the error has one.
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
