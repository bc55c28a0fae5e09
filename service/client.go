// Package service provides the HTTP client for plain application services.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/figweir/figweir/membudget"
	"github.com/figweir/figweir/tcpstate"
	"github.com/figweir/figweir/upstream"
)

// Errors of Client.Call.
var (
	// ErrNotSent means that no part of the call can have reached the service.
	ErrNotSent = errors.New("service: call not sent")
	// ErrOutcomeUnknown means that the call may have been executed, but no
	// complete response was received.
	ErrOutcomeUnknown = errors.New("service: outcome unknown")
	// ErrResponseTooLarge means that the response exceeds MaxResponseBytes.
	ErrResponseTooLarge = errors.New("service: response too large")
)

const (
	dialTimeout  = time.Second
	maxIdleConns = 32
	// MaxResponseBytes is the maximum size of a response body. Responses are
	// buffered in memory so that a caller never receives a partial one.
	MaxResponseBytes = 8 << 20
)

// minStatus and maxStatus are the range of the statuses of HTTP (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// Call is one call to a service.
type Call struct {
	Method string
	// Path is the path relative to the root of the service, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is set if the call may use a kept-alive connection and may be
	// sent again after a failure.
	Idempotent bool
}

// Response holds the status, the header and the complete body of a response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls services over HTTP. It is safe for concurrent use.
type Client struct {
	// Memory limits what is buffered of all responses together while they are read; nil
	// limits only each of them.
	Memory *membudget.Budget

	idempotent    *http.Client
	nonIdempotent *http.Client
}

// NewClient returns a client. Close releases its idle connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		idempotent: newHTTPClient(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}, dialer),
		// If a kept-alive connection breaks, net/http sends a request with an
		// Idempotency-Key header again, and any other request fails although
		// part of it may have been sent. With a new connection for each call
		// nothing is sent twice, and if the service is down, connecting fails,
		// so that it is correct to report "not run".
		nonIdempotent: newHTTPClient(&http.Transport{DisableKeepAlives: true}, dialer),
	}
}

// newHTTPClient returns a client that passes responses on unmodified: it neither
// decompresses bodies nor follows redirects.
func newHTTPClient(t *http.Transport, dialer *net.Dialer) *http.Client {
	t.DisableCompression = true
	return &http.Client{
		Transport: upstream.NewCallerTransport(t, dialer),
		// A redirect is a response like any other. Following it would send the
		// call a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.idempotent.CloseIdleConnections()
	c.nonIdempotent.CloseIdleConnections()
}

// Call sends the call to the server at address, an IP:port, and returns the
// complete response. Errors wrap ErrNotSent or ErrOutcomeUnknown. A response of
// more than MaxResponseBytes bytes also wraps ErrResponseTooLarge.
func (c *Client) Call(ctx context.Context, address string, call Call) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %s", ErrNotSent, err.Error())
	}
	req.Header = call.Header.Clone()
	client := c.nonIdempotent
	if call.Idempotent {
		client = c.idempotent
	}
	upload := newUpload()
	resp, err := client.Do(req.WithContext(upload.trace(req.Context())))
	if err != nil {
		return Response{}, classifySendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return Response{}, fmt.Errorf("%w: status %03d is not that of a response", ErrOutcomeUnknown, resp.StatusCode)
	}
	raw, err := c.Memory.ReadAll(resp.Body, MaxResponseBytes)
	if errors.Is(err, membudget.ErrExhausted) {
		return Response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrResponseTooLarge)
	}
	if err != nil {
		return Response{}, fmt.Errorf("%w: %s", ErrOutcomeUnknown, err.Error())
	}
	if len(raw) > MaxResponseBytes {
		return Response{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrResponseTooLarge)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !upload.succeeded() {
		return Response{}, fmt.Errorf("%w: the response ended before the call was written completely", ErrOutcomeUnknown)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: raw}, nil
}

// classifySendError wraps an error of the HTTP client in ErrNotSent if the caller has left or no
// connection was established, and otherwise in ErrOutcomeUnknown.
func classifySendError(err error) error {
	if errors.Is(err, tcpstate.ErrPeerClosed) {
		return fmt.Errorf("%w: %w", ErrNotSent, tcpstate.ErrPeerClosed)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %s", ErrNotSent, err.Error())
	}
	return fmt.Errorf("%w: %s", ErrOutcomeUnknown, err.Error())
}
