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
	// operatorTimeout bounds one call of the operator listener. A change waits
	// there until more than half of the nodes have it in force.
	operatorTimeout = 30 * time.Second
	// maxAnswerBytes bounds an answer: 2,300 workspaces take under 2 MB.
	maxAnswerBytes = 64 << 20
	operatorScheme = "http://"
	pathConfig     = "/v1/config"
	pathReports    = "/v1/reports/"
)

// errOutcomeUnknown means that a change may or may not have been stored.
var errOutcomeUnknown = errors.New("the outcome is unknown: the change may or may not have been stored; read the configuration again before you repeat it")

// operatorClient calls the operator listener of a node.
type operatorClient struct {
	address string
	secret  string
	http    *http.Client
}

// newOperatorClient returns a client that ignores HTTP_PROXY: a proxy would
// read the operator secret.
func newOperatorClient(address, secret string) *operatorClient {
	transport := &http.Transport{DisableKeepAlives: true}
	return &operatorClient{address: address, secret: secret, http: &http.Client{Timeout: operatorTimeout, Transport: transport}}
}

// readConfig returns the configuration and its revision, which is 0 if there
// is no configuration yet.
func (c *operatorClient) readConfig(ctx context.Context) (operator.ConfigResponse, error) {
	var answer operator.ConfigResponse
	if err := c.call(ctx, http.MethodGet, pathConfig, nil, &answer); err != nil {
		return operator.ConfigResponse{}, err
	}
	if answer.Document == nil {
		return operator.ConfigResponse{}, fmt.Errorf("%s returned no configuration document", c.address)
	}
	return answer, nil
}

// applyConfig sends a change. It is sent once: errOutcomeUnknown tells that its
// answer was lost.
func (c *operatorClient) applyConfig(ctx context.Context, change operator.ApplyRequest) (operator.ApplyResponse, error) {
	raw, err := json.Marshal(change)
	if err != nil {
		return operator.ApplyResponse{}, err
	}
	var answer operator.ApplyResponse
	err = c.call(ctx, http.MethodPut, pathConfig, raw, &answer)
	var transport *transportError
	if errors.As(err, &transport) && !transport.notSent {
		return operator.ApplyResponse{}, fmt.Errorf("%w (%w)", errOutcomeUnknown, err)
	}
	return answer, err
}

// report returns a report as JSON.
func (c *operatorClient) report(ctx context.Context, name string) (json.RawMessage, error) {
	var answer json.RawMessage
	err := c.call(ctx, http.MethodGet, pathReports+name, nil, &answer)
	return answer, err
}

// transportError means that no complete answer was received.
type transportError struct {
	cause error
	// notSent is set if the request can't have reached the node.
	notSent bool
}

func (e *transportError) Error() string { return e.cause.Error() }
func (e *transportError) Unwrap() error { return e.cause }

func (c *operatorClient) call(ctx context.Context, method, path string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, operatorScheme+c.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Without GetBody the transport can't send a change a second time.
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &transportError{cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return &transportError{cause: fmt.Errorf("the answer of %s is not what was expected: %w", c.address, err)}
	}
	return nil
}

// refusal turns an error answer of the listener into an error, with all
// findings if there are some.
func refusal(status int, raw []byte) error {
	var answer operator.ErrorResponse
	if err := json.Unmarshal(raw, &answer); err != nil || answer.Error.Message == "" {
		return fmt.Errorf("status %d: %s", status, strings.TrimSpace(string(raw)))
	}
	if len(answer.Findings) > 0 {
		return fmt.Errorf("%s:\n%w", answer.Error.Message, &finding.Error{Findings: answer.Findings})
	}
	return fmt.Errorf("%s (%s)", answer.Error.Message, answer.Error.Code)
}

// change is the edit that an operator command makes to a document. It returns
// an error, and nothing is sent, if the edit can't be made.
type change func(*config.Document) error

// edit reads the configuration, changes it and applies it from the revision
// that was read. A lost race is an error and is not repeated, because the other
// change may make this one wrong.
func (c *operatorClient) edit(ctx context.Context, author string, change change) (operator.ApplyResponse, error) {
	current, err := c.readConfig(ctx)
	if err != nil {
		return operator.ApplyResponse{}, err
	}
	if err := change(current.Document); err != nil {
		return operator.ApplyResponse{}, err
	}
	return c.applyConfig(ctx, operator.ApplyRequest{Base: current.Revision, Author: author, Document: current.Document})
}

// describeRevision names a revision for messages.
func describeRevision(revision store.Revision, author string) string {
	if revision == 0 {
		return "no configuration"
	}
	return fmt.Sprintf("revision %d by %q", revision, author)
}
