package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is the JSON body of a call to the store's HTTP interface. Each
// operation uses the fields that it needs.
type Request struct {
	Key      string   `json:"key,omitempty"`
	Prefix   string   `json:"prefix,omitempty"`
	Value    []byte   `json:"value,omitempty"`
	Expected Revision `json:"expected,omitempty"`
	After    Revision `json:"after,omitempty"`
	Lease    LeaseID  `json:"lease,omitempty"`
	// TTLMillis is the life of a new lease in milliseconds.
	TTLMillis int64 `json:"ttl_ms,omitempty"`
	// WaitMillis is how long a watch waits, in milliseconds.
	WaitMillis int64 `json:"wait_ms,omitempty"`
}

// Response is the JSON body of an answer.
type Response struct {
	Entry    *Entry   `json:"entry,omitempty"`
	Entries  []Entry  `json:"entries,omitempty"`
	Events   []Event  `json:"events,omitempty"`
	Revision Revision `json:"revision,omitempty"`
	Lease    LeaseID  `json:"lease,omitempty"`
	Error    string   `json:"error,omitempty"`
}

// The values of Response.Error.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeUnavailable = "unavailable"
	CodeCompacted   = "compacted"
	CodeTooLarge    = "too_large"
)

var errorByCode = map[string]error{
	CodeNotFound:    ErrNotFound,
	CodeConflict:    ErrConflict,
	CodeUnavailable: ErrUnavailable,
	CodeCompacted:   ErrCompacted,
	CodeTooLarge:    ErrTooLarge,
}

// maxResponseBytes bounds what the client reads of one answer: a list of a few
// large values.
const maxResponseBytes = 64 << 20

// Client calls the store over HTTP with JSON bodies.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the store at base, for example
// "http://127.0.0.1:7400". Each call but a watch ends after timeout.
func NewClient(base string, timeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{base: base, http: &http.Client{Transport: transport}, timeout: timeout}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	r, err := c.read(ctx, "get", Request{Key: key}, c.timeout)
	if err != nil {
		return Entry{}, err
	}
	if r.Entry == nil {
		return Entry{}, ErrNotFound
	}
	return *r.Entry, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	r, err := c.read(ctx, "list", Request{Prefix: prefix}, c.timeout)
	return r.Entries, r.Revision, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	r, err := c.write(ctx, "put", Request{Key: key, Value: value, Expected: expected, Lease: lease})
	return r.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := c.write(ctx, "delete", Request{Key: key, Expected: expected})
	return err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	r, err := c.read(ctx, "watch", Request{Prefix: prefix, After: after, WaitMillis: wait.Milliseconds()}, wait+c.timeout)
	return r.Events, r.Revision, err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	r, err := c.write(ctx, "grant", Request{TTLMillis: ttl.Milliseconds()})
	return r.Lease, err
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	_, err := c.write(ctx, "renew", Request{Lease: lease})
	return err
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := c.write(ctx, "revoke", Request{Lease: lease})
	return err
}

// read makes a call without effect; every failure is ErrUnavailable.
func (c *Client) read(ctx context.Context, op string, req Request, timeout time.Duration) (Response, error) {
	r, err := c.call(ctx, op, req, timeout)
	if errors.Is(err, ErrAmbiguous) {
		return r, fmt.Errorf("%w: %s", ErrUnavailable, err.Error())
	}
	return r, err
}

func (c *Client) write(ctx context.Context, op string, req Request) (Response, error) {
	return c.call(ctx, op, req, c.timeout)
}

func (c *Client) call(ctx context.Context, op string, req Request, timeout time.Duration) (Response, error) {
	raw, err := json.Marshal(req)
	if err != nil {
		return Response{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/store/"+op, bytes.NewReader(raw))
	if err != nil {
		return Response{}, err
	}
	// Without GetBody the transport can't replay a write on a new connection.
	httpReq.GetBody = nil
	httpReq.Header.Set("Content-Type", "application/json")
	httpResp, err := c.http.Do(httpReq)
	if err != nil {
		return Response{}, classify(err)
	}
	defer httpResp.Body.Close()
	var r Response
	if err := json.NewDecoder(io.LimitReader(httpResp.Body, maxResponseBytes)).Decode(&r); err != nil {
		return Response{}, fmt.Errorf("%w: %s", ErrAmbiguous, err.Error())
	}
	if r.Error == "" {
		return r, nil
	}
	if known, ok := errorByCode[r.Error]; ok {
		return r, known
	}
	return r, fmt.Errorf("%w: status %d, code %q", ErrAmbiguous, httpResp.StatusCode, r.Error)
}

// classify separates failures to connect, after which nothing was sent, from
// all others.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %s", ErrUnavailable, err.Error())
	}
	return fmt.Errorf("%w: %s", ErrAmbiguous, err.Error())
}
