// Package service is the client of plain application services.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Errors of calls.
var (
	// ErrNotSent means that no byte of the call can have reached the service.
	ErrNotSent = errors.New("service: call not sent")
	// ErrUnknown means that the call may have run although no whole answer came.
	ErrUnknown = errors.New("service: outcome unknown")
	// ErrAnswerTooLarge means that the answer exceeds MaxAnswerBytes.
	ErrAnswerTooLarge = errors.New("service: answer too large")
)

const (
	dialTimeout  = time.Second
	maxIdleConns = 32
	// MaxAnswerBytes bounds an answer, which is held in memory so that a
	// caller never receives part of one.
	MaxAnswerBytes = 8 << 20
)

// Call is one call to a service.
type Call struct {
	Method string
	// Path is the path below the service's root, with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent calls may be sent on a kept-alive connection and again after
	// a failure.
	Idempotent bool
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls services over HTTP.
type Client struct {
	idempotent *http.Client
	once       *http.Client
}

// NewClient returns a client of services.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		idempotent: client(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}),
		// On a kept-alive connection that breaks, net/http sends a request with
		// an Idempotency-Key header a second time, and any other request fails
		// after bytes may have left. With a connection for each call nothing is
		// sent twice, and a service that is down shows as a failure to connect,
		// after which "not run" is true.
		once: client(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}),
	}
}

func client(t *http.Transport) *http.Client {
	t.DisableCompression = true
	return &http.Client{
		Transport: t,
		// A redirect is part of the answer; following it would send the call twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.idempotent.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// Call sends the call to the server at address and returns its whole answer.
func (c *Client) Call(ctx context.Context, address string, call Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %s", ErrNotSent, err.Error())
	}
	req.Header = call.Header.Clone()
	client := c.once
	if call.Idempotent {
		client = c.idempotent
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}, sendError(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %s", ErrUnknown, err.Error())
	}
	if len(raw) > MaxAnswerBytes {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnknown, ErrAnswerTooLarge)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: raw}, nil
}

func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %s", ErrNotSent, err.Error())
	}
	return fmt.Errorf("%w: %s", ErrUnknown, err.Error())
}
