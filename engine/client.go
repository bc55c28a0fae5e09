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
	"syscall"
	"time"

	"github.com/figweir/figweir/tcpstate"
	"github.com/figweir/figweir/upstream"
)

// Attempt describes one try to run a request on one engine. A request that is
// retried on another engine has a new attempt with an ID of its own.
type Attempt struct {
	// Request is the ID of the request that the attempt belongs to.
	Request string
	ID      string
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Body is the JSON request body in the chat-completions format, with "stream"
	// set.
	Body []byte
	// PrefillServer is the address of another engine that processes the prompt.
	// It is empty if the engine that gets the request does this itself.
	PrefillServer string
	// PrefixBlocks are the hashes of the prompt's leading KV blocks.
	PrefixBlocks []uint64
}

// Client is an HTTP client for engines. It uses separate connections for streams
// and for short calls. It is safe for concurrent use.
type Client struct {
	streamClient *http.Client
	callClient   *http.Client
}

// ErrFenced is returned when the engine rejects an order because it has accepted
// a higher fencing token before.
var ErrFenced = errors.New("engine: fencing token is too old")

// ErrOrderAmbiguous is returned when it is unknown whether an order reached the
// engine.
var ErrOrderAmbiguous = errors.New("engine: outcome of the order unknown")

const (
	dialTimeout = time.Second
	// callTimeout limits every call other than a stream: load reports, cache
	// events, cancellations and orders.
	callTimeout = 5 * time.Second
	// headerTimeout limits the wait for the response headers of a stream. It is
	// longer than any queueing delay that admission control permits.
	headerTimeout    = 2 * time.Minute
	maxResponseBytes = 1 << 20
	// maxCallHeaderBytes is the maximum size of the header of a response to a short call.
	maxCallHeaderBytes = 64 << 10
	maxIdleConns       = 64
	// maxStatus is the largest status of HTTP (RFC 9110, section 15).
	maxStatus = 599
)

// NewClient returns a client with its own connection pools.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		streamClient: &http.Client{Transport: upstream.NewCallerTransport(&http.Transport{
			MaxIdleConnsPerHost:   maxIdleConns,
			IdleConnTimeout:       time.Minute,
			ResponseHeaderTimeout: headerTimeout,
			DisableCompression:    true,
		}, dialer)},
		callClient: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxCallHeaderBytes},
		},
	}
}

// Close closes the idle connections. Streams in progress are not affected.
func (c *Client) Close() {
	c.streamClient.CloseIdleConnections()
	c.callClient.CloseIdleConnections()
}

// Stream starts an attempt on the engine at address. It returns an error that
// wraps ErrNotSent if no connection could be made, ErrRefused if the engine
// refused the request, and ErrTruncated if the engine may have started it. If ctx
// was canceled, it returns context.Canceled.
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
	return c.openStream(req, a, 0)
}

// Resume continues the stream of an attempt after the first offset chunks. It
// returns the errors of Stream, and ErrStreamUnknown if offset is not 0 and the
// engine no longer has the stream.
func (c *Client) Resume(ctx context.Context, address string, a Attempt, offset int) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/streams/"+a.ID, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderStreamOffset, strconv.Itoa(offset))
	return c.openStream(req, a, offset)
}

func (c *Client) openStream(req *http.Request, a Attempt, offset int) (*Stream, error) {
	req.Header.Set(HeaderRequestID, a.Request)
	req.Header.Set(HeaderAttemptID, a.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(a.Priority))
	req.Header.Set("Accept", "text/event-stream")
	resp, err := c.streamClient.Do(req)
	if err != nil {
		return nil, wrapSendError(err, ErrTruncated)
	}
	switch {
	case resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus:
		err = fmt.Errorf("%w: status %03d is not that of a response", ErrTruncated, resp.StatusCode)
	case resp.StatusCode == http.StatusOK:
		return newStream(resp.Body, a.ID, offset), nil
	case resp.StatusCode == http.StatusNotFound && offset > 0:
		err = ErrStreamUnknown
	case resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "":
		err = fmt.Errorf("%w: status %d", ErrTruncated, resp.StatusCode)
	default:
		err = newRefusedError(resp)
	}
	resp.Body.Close()
	return nil, err
}

const (
	// exitTime is how long the end of a crashing process takes: its connections and its
	// listener are not closed at the same moment.
	exitTime = 10 * time.Millisecond
	// reachTimeout is the timeout of the connection that shows whether an engine runs.
	reachTimeout = 400 * time.Millisecond
)

// Crashed reports whether an engine that has just broken off a stream refuses connections. An
// engine that can't be reached has not crashed as far as this node knows.
func (c *Client) Crashed(address string) bool {
	time.Sleep(exitTime)
	conn, err := net.DialTimeout("tcp", address, reachTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// RefusedError reports that the engine refused a request or an order. It holds
// the HTTP status and the response body.
type RefusedError struct {
	Status int
	Reason string
	// NotRun is set if the engine states that it has not run the request.
	NotRun bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine: request refused with status %d: %s", e.Status, e.Reason)
}

// Is makes errors.Is(err, ErrRefused) return true.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

// ProvesNotRun reports whether an error of Stream or Resume proves that the engine has not run the
// request.
func ProvesNotRun(err error) bool {
	var refused *RefusedError
	return errors.Is(err, ErrNotSent) || errors.As(err, &refused) && refused.NotRun
}

func newRefusedError(resp *http.Response) error {
	const maxReasonBytes = 1024
	reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	return &RefusedError{
		Status: resp.StatusCode, Reason: string(bytes.TrimSpace(reason)),
		NotRun: resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderNotRun) != "",
	}
}

// Cancel ends an attempt on the engine. If it fails, the only consequence is that
// the engine goes on generating tokens that nobody reads.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/streams/"+attempt, nil)
	if err != nil {
		return err
	}
	resp, err := c.callClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Load fetches the load report of the engine at address.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	if err := c.getJSON(ctx, "http://"+address+"/v1/load", &report); err != nil {
		return LoadReport{}, fmt.Errorf("load report: %w", err)
	}
	report.ReceivedAt = time.Now()
	return report, nil
}

// CacheEvents fetches the cache events of the engine at address with a sequence
// number higher than after.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	url := "http://" + address + "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	if err := c.getJSON(ctx, url, &events); err != nil {
		return nil, fmt.Errorf("cache events: %w", err)
	}
	return events, nil
}

func (c *Client) getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.callClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(v)
}

// Order sends an order to the engine at address. It returns ErrFenced if the
// fencing token is too old, and an error that wraps ErrNotSent, ErrRefused or
// ErrOrderAmbiguous for other failures. If ctx was canceled, it returns
// context.Canceled, and the engine may have received the order.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	raw, err := json.Marshal(order)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.callClient.Do(req)
	if err != nil {
		return wrapSendError(err, ErrOrderAmbiguous)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	case resp.StatusCode < http.StatusOK, resp.StatusCode >= http.StatusInternalServerError:
		// A status below 200 is not that of a response.
		return fmt.Errorf("%w: status %d", ErrOrderAmbiguous, resp.StatusCode)
	default:
		return newRefusedError(resp)
	}
}

// wrapSendError wraps ErrNotSent for a caller who has left and for a failure to connect, after which
// the engine can't have received anything, and maybeSent for any other failure. It returns
// context.Canceled unchanged.
func wrapSendError(err, maybeSent error) error {
	if ctxErr := errors.Unwrap(err); errors.Is(ctxErr, context.Canceled) {
		return ctxErr
	}
	if errors.Is(err, tcpstate.ErrPeerClosed) {
		return fmt.Errorf("%w: %w", ErrNotSent, tcpstate.ErrPeerClosed)
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %s", ErrNotSent, err.Error())
	}
	return fmt.Errorf("%w: %s", maybeSent, err.Error())
}
