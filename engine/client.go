package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Attempt is one try to run a request on one engine.
type Attempt struct {
	Request  string
	ID       string
	Priority int
	// Body is the request in the chat-completions format with "stream" set.
	Body []byte
	// PrefillServer is the address of another engine that processes the prompt,
	// or empty.
	PrefillServer string
	// PrefixBlocks are the hashes of the prompt's leading KV blocks.
	PrefixBlocks []uint64
}

// Client calls engines over HTTP.
type Client struct {
	streams *http.Client
	calls   *http.Client
}

// ErrFenced means that the engine refused an order with an old fencing token.
var ErrFenced = errors.New("engine: fencing token is too old")

// ErrOrderAmbiguous means that an order may or may not have reached the engine.
var ErrOrderAmbiguous = errors.New("engine: outcome of the order unknown")

const (
	dialTimeout = time.Second
	// callTimeout bounds load reports, cancels and orders.
	callTimeout = 5 * time.Second
	// headerTimeout bounds the wait for the first byte of an answer; it is
	// longer than any queue that admission allows.
	headerTimeout = 2 * time.Minute
	maxCallBytes  = 1 << 20
	maxIdleConns  = 64
)

// NewClient returns a client of engines.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		streams: &http.Client{Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			MaxIdleConnsPerHost:   maxIdleConns,
			IdleConnTimeout:       time.Minute,
			ResponseHeaderTimeout: headerTimeout,
			DisableCompression:    true,
		}},
		calls: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute},
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.streams.CloseIdleConnections()
	c.calls.CloseIdleConnections()
}

// Stream starts an attempt on the engine at address.
func (c *Client) Stream(ctx context.Context, address string, a Attempt) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if a.PrefillServer != "" {
		req.Header.Set(HeaderPrefillServer, a.PrefillServer)
	}
	if len(a.PrefixBlocks) > 0 {
		req.Header.Set(HeaderPrefixBlocks, FormatBlocks(a.PrefixBlocks))
	}
	return c.open(req, a, 0)
}

// Resume continues the stream of an attempt after offset chunks.
func (c *Client) Resume(ctx context.Context, address string, a Attempt, offset int) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/streams/"+a.ID, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderOffset, strconv.Itoa(offset))
	return c.open(req, a, offset)
}

func (c *Client) open(req *http.Request, a Attempt, offset int) (*Stream, error) {
	req.Header.Set(HeaderRequest, a.Request)
	req.Header.Set(HeaderAttempt, a.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(a.Priority))
	req.Header.Set("Accept", "text/event-stream")
	resp, err := c.streams.Do(req)
	if err != nil {
		return nil, sendError(err, ErrTruncated)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return newStream(resp.Body, a.ID, offset), nil
	case resp.StatusCode == http.StatusNotFound && offset > 0:
		err = ErrStreamUnknown
	case resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusServiceUnavailable:
		err = fmt.Errorf("%w: status %d", ErrTruncated, resp.StatusCode)
	default:
		err = refusal(resp)
	}
	resp.Body.Close()
	return nil, err
}

// RefusedError is a refusal by the engine with its status and reason.
type RefusedError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: request refused with status %d: %s", e.Status, e.Reason)
}

// Is makes errors.Is(err, ErrRefused) true.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

func refusal(resp *http.Response) error {
	const maxReasonBytes = 1024
	reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	return &RefusedError{Status: resp.StatusCode, Reason: string(bytes.TrimSpace(reason))}
}

// Cancel ends an attempt on the engine; a failure is of no consequence beyond
// the tokens that the engine generates in vain.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/streams/"+attempt, nil)
	if err != nil {
		return err
	}
	resp, err := c.calls.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Load returns the load report of the engine at address.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var r LoadReport
	if err := c.read(ctx, "http://"+address+"/v1/load", &r); err != nil {
		return LoadReport{}, fmt.Errorf("load report: %w", err)
	}
	r.Received = time.Now()
	return r, nil
}

// CacheEvents returns the cache events of the engine at address that follow
// the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	url := "http://" + address + "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	if err := c.read(ctx, url, &events); err != nil {
		return nil, fmt.Errorf("cache events: %w", err)
	}
	return events, nil
}

func (c *Client) read(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.calls.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxCallBytes)).Decode(v)
}

// Order sends an order to the engine at address.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.calls.Do(req)
	if err != nil {
		return sendError(err, ErrOrderAmbiguous)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	case resp.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d", ErrOrderAmbiguous, resp.StatusCode)
	default:
		return refusal(resp)
	}
}

// sendError separates failures to connect, after which nothing was sent, from
// all others, which are reported as kind.
func sendError(err, kind error) error {
	if ctxErr := errors.Unwrap(err); errors.Is(ctxErr, context.Canceled) {
		return ctxErr
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %s", ErrNotSent, err.Error())
	}
	return fmt.Errorf("%w: %s", kind, err.Error())
}
