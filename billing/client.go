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
	// ReportPath takes a report as JSON by POST.
	ReportPath = "/v1/usage-reports"
	// SenderHeader names the node that sends the report.
	SenderHeader = "Figweir-Sender"
	// TokenHeader carries the fencing token.
	TokenHeader = "Figweir-Fencing-Token"
)

// Defaults of Client.
const (
	// DefaultTimeout bounds one report, including its answer.
	DefaultTimeout = 5 * time.Second
	// maxAnswerBytes bounds how much of an answer is read.
	maxAnswerBytes = 4 << 10
)

// Client sends reports over HTTP.
type Client struct {
	url     string
	sender  string
	timeout time.Duration
	http    *http.Client
}

var _ Reporter = (*Client)(nil)

// NewClient returns a client for billing at baseURL. Sender names this node. A
// timeout of 0 takes DefaultTimeout. The transport must not repeat requests;
// nil takes one with a bounded number of connections.
func NewClient(baseURL, sender string, timeout time.Duration, transport http.RoundTripper) *Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if transport == nil {
		transport = &http.Transport{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	}
	return &Client{url: baseURL + ReportPath, sender: sender, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Report implements Reporter. An error before a connection exists is
// ErrUnavailable. Any later failure without a status is ErrAmbiguous, and so
// are the statuses of gateways that may have lost the answer.
func (c *Client) Report(ctx context.Context, token uint64, report Report) error {
	body, err := json.Marshal(report)
	if err != nil {
		return fmt.Errorf("billing: encode report %s: %w", report.ID, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	// Without GetBody, net/http does not send the report again by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(SenderHeader, c.sender)
	req.Header.Set(TokenHeader, strconv.FormatUint(token, 10))
	response, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: report %s: %w", kindOf(err), report.ID, err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch status := response.StatusCode; {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: report %s: status %d", ErrUnavailable, report.ID, status)
	case status >= 500:
		return fmt.Errorf("%w: report %s: status %d", ErrAmbiguous, report.ID, status)
	default:
		return fmt.Errorf("%w: report %s: status %d: %s", ErrRefused, report.ID, status, bytes.TrimSpace(text))
	}
}

// kindOf tells failures to connect, after which nothing can have been sent,
// from all others.
func kindOf(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrAmbiguous
}
