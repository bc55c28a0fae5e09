package billing

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

// The HTTP interface of billing.
const (
	// ReportPath is the path to which a report is sent as JSON by POST.
	ReportPath = "/v1/usage-reports"
	// SenderHeader is the header with the name of the node that sends the
	// report.
	SenderHeader = "Figweir-Sender"
	// TokenHeader is the header with the fencing token.
	TokenHeader = "Figweir-Fencing-Token"
)

// Defaults of Client.
const (
	// DefaultTimeout is the timeout of one report, including its response.
	DefaultTimeout = 5 * time.Second
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 4 << 10
)

// Client is a Reporter that sends reports over HTTP.
type Client struct {
	reportURL  string
	sender     string
	timeout    time.Duration
	httpClient *http.Client
}

var _ Reporter = (*Client)(nil)

// NewClient returns a client for billing at baseURL. sender is the name of this
// node. If timeout is 0, DefaultTimeout is used. transport must not repeat
// requests; if it is nil, a transport with a limited number of connections is
// used.
func NewClient(baseURL, sender string, timeout time.Duration, transport http.RoundTripper) *Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if transport == nil {
		transport = &http.Transport{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	}
	return &Client{reportURL: baseURL + ReportPath, sender: sender, timeout: timeout, httpClient: &http.Client{Transport: transport}}
}

// Report implements Reporter. It returns ErrUnavailable if the connection could
// not be established, or for the statuses 429 and 503. It returns ErrAmbiguous
// after any later failure without a status, and for other statuses from 500,
// because a gateway may have lost billing's response. For all other statuses
// outside 200 to 299 it returns ErrRefused.
func (c *Client) Report(ctx context.Context, token uint64, report Report) error {
	body, err := json.Marshal(report)
	if err != nil {
		return fmt.Errorf("billing: encode report %s: %w", report.ID, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.reportURL, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	// Without GetBody, net/http doesn't repeat the request on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(SenderHeader, c.sender)
	req.Header.Set(TokenHeader, strconv.FormatUint(token, 10))
	response, err := c.httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: report %s: %w", classifyError(err), report.ID, err)
	}
	defer response.Body.Close()
	responseText, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	switch status := response.StatusCode; {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: report %s: status %d", ErrUnavailable, report.ID, status)
	case status >= 500:
		return fmt.Errorf("%w: report %s: status %d", ErrAmbiguous, report.ID, status)
	default:
		return fmt.Errorf("%w: report %s: status %d: %s", ErrRefused, report.ID, status, bytes.TrimSpace(responseText))
	}
}

// classifyError returns ErrUnavailable for a failure to connect, after which
// nothing can have been sent, and ErrAmbiguous for all other errors.
func classifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrAmbiguous
}
