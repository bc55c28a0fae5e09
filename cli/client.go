package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/figweir/figweir/config"
	"github.com/figweir/figweir/finding"
	"github.com/figweir/figweir/operator"
	"github.com/figweir/figweir/store"
)

const (
	// operatorTimeout is the timeout of one call to an operator listener. The
	// listener responds to a change only when more than half of the nodes have
	// applied it, or when its own wait for them ends.
	operatorTimeout = 30 * time.Second
	// maxResponseBytes is the maximum size of a response body. The
	// configuration of 2,300 workspaces takes less than 2 MB.
	maxResponseBytes = 64 << 20
	operatorScheme   = "http://"
	pathConfig       = "/v1/config"
	pathReports      = "/v1/reports/"
)

// errOutcomeUnknown means that it is unknown whether a change was stored.
var errOutcomeUnknown = errors.New("the outcome is unknown: the change may or may not have been stored; read the configuration again before you repeat it")

// operatorClient calls the operator listener of a node.
type operatorClient struct {
	address string
	secret  string
	http    *http.Client
}

// newOperatorClient returns a client that ignores HTTP_PROXY, because a proxy
// could read the operator secret.
func newOperatorClient(address, secret string) *operatorClient {
	transport := &http.Transport{DisableKeepAlives: true}
	return &operatorClient{address: address, secret: secret, http: &http.Client{Timeout: operatorTimeout, Transport: transport}}
}

// readConfig returns the configuration and its revision, which is 0 if none has
// been stored yet.
func (c *operatorClient) readConfig(ctx context.Context) (operator.ConfigResponse, error) {
	var response operator.ConfigResponse
	if err := c.call(ctx, http.MethodGet, pathConfig, nil, &response); err != nil {
		return operator.ConfigResponse{}, err
	}
	if response.Document == nil {
		return operator.ConfigResponse{}, fmt.Errorf("%s returned no configuration document", c.address)
	}
	return response, nil
}

// applyConfig sends a change, and never sends it again. It returns
// errOutcomeUnknown if the response was lost.
func (c *operatorClient) applyConfig(ctx context.Context, change operator.ApplyRequest) (operator.ApplyResponse, error) {
	raw, err := json.Marshal(change)
	if err != nil {
		return operator.ApplyResponse{}, err
	}
	var response operator.ApplyResponse
	err = c.call(ctx, http.MethodPut, pathConfig, raw, &response)
	var transportErr *transportError
	if errors.As(err, &transportErr) && !transportErr.notSent {
		return operator.ApplyResponse{}, fmt.Errorf("%w (%w)", errOutcomeUnknown, err)
	}
	return response, err
}

// fetchReport returns a report as JSON.
func (c *operatorClient) fetchReport(ctx context.Context, name string) (json.RawMessage, error) {
	var response json.RawMessage
	err := c.call(ctx, http.MethodGet, pathReports+name, nil, &response)
	return response, err
}

// transportError means that no complete response was received.
type transportError struct {
	cause error
	// notSent is set if no connection was established, so that the request can't
	// have reached the node.
	notSent bool
}

func (e *transportError) Error() string { return e.cause.Error() }
func (e *transportError) Unwrap() error { return e.cause }

// call sends a request and decodes the JSON response into response. It returns
// a *transportError if no complete, decodable response was received.
func (c *operatorClient) call(ctx context.Context, method, path string, body []byte, response any) error {
	req, err := http.NewRequestWithContext(ctx, method, operatorScheme+c.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// The transport needs GetBody to send a request a second time. Without it a
	// change is sent at most once.
	req.GetBody = nil
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.secret != "" {
		req.Header.Set("Authorization", "Bearer "+c.secret)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		return &transportError{cause: err, notSent: errors.As(err, &op) && op.Op == "dial"}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &transportError{cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, response); err != nil {
		return &transportError{cause: fmt.Errorf("could not decode the response of %s: %w", c.address, err)}
	}
	return nil
}

// responseError converts an error response of the listener to an error that
// includes all findings of the response.
func responseError(status int, raw []byte) error {
	var response operator.ErrorResponse
	if err := json.Unmarshal(raw, &response); err != nil || response.Error.Message == "" {
		return fmt.Errorf("status %d: %s", status, strings.TrimSpace(string(raw)))
	}
	if len(response.Findings) > 0 {
		return fmt.Errorf("%s:\n%w", response.Error.Message, &finding.Error{Findings: response.Findings})
	}
	return fmt.Errorf("%s (%s)", response.Error.Message, response.Error.Code)
}

// documentEdit modifies a document on behalf of a command. If it returns an error,
// nothing is sent.
type documentEdit func(*config.Document) error

// editConfig reads the configuration, edits it and applies the result with the
// revision that it read as the base. A conflict with a concurrent change is an
// error and is not retried, because the other change may make this one wrong.
func (c *operatorClient) editConfig(ctx context.Context, author string, edit documentEdit) (operator.ApplyResponse, error) {
	current, err := c.readConfig(ctx)
	if err != nil {
		return operator.ApplyResponse{}, err
	}
	if err := edit(current.Document); err != nil {
		return operator.ApplyResponse{}, err
	}
	return c.applyConfig(ctx, operator.ApplyRequest{Base: current.Revision, Author: author, Document: current.Document})
}

// describeRevision formats a revision and its author for messages.
func describeRevision(revision store.Revision, author string) string {
	if revision == 0 {
		return "no configuration"
	}
	return fmt.Sprintf("revision %d by %q", revision, author)
}
