package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/engine"
)

// errNoEndMarker means that a stream ended with neither the end marker nor an
// error.
var errNoEndMarker = errors.New("load: stream ended without end marker")

// sample is the result of one request as the caller observed it.
type sample struct {
	arrival arrival
	// complete is true if the whole response arrived; for a stream, including its
	// end marker.
	complete         bool
	tokens           int
	timeToFirstToken time.Duration
	// tokenGaps are the times between successive tokens.
	tokenGaps []time.Duration
	// errorCode is the code of a rejected or failed request, otherwise empty.
	errorCode string
	// notRun is set if the error response states that the request was not run.
	notRun bool
	// runCount is the number of runs of the call that the server reports, and
	// server is its name. Each server of a pool counts its own runs.
	runCount int
	server   string
}

// driver sends the requests of a run and measures the responses.
type driver struct {
	scenario   *Scenario
	httpClient *http.Client
	// runID makes the idempotency keys unique to the run.
	runID string
}

func newDriver(s *Scenario, runID string) *driver {
	const maxIdleConns = 256
	return &driver{scenario: s, runID: runID, httpClient: &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns,
	}}}
}

// send sends one request through a node and returns its result.
func (d *driver) send(ctx context.Context, a arrival, node int) sample {
	ctx, cancel := context.WithTimeout(ctx, secondsToDuration(d.scenario.RequestTimeoutSeconds))
	defer cancel()
	if a.serviceCall {
		return d.sendCall(ctx, a, node)
	}
	return d.sendChat(ctx, a, node)
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// sendChat sends a chat request, reads the stream and measures its tokens.
func (d *driver) sendChat(ctx context.Context, a arrival, node int) sample {
	result := sample{arrival: a}
	body, err := json.Marshal(chatRequest{Model: d.scenario.Model, Stream: a.stream, MaxTokens: a.outputTokens, Messages: []chatMessage{{"user", a.prompt}}})
	if err != nil {
		return failedSample(result, err)
	}
	start := time.Now()
	resp, err := d.doRequest(ctx, a, node, http.MethodPost, "/v1/chat/completions", nil, body)
	if err != nil {
		return failedSample(result, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusedSample(result, resp.Body)
	}
	last := start
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return failedSample(result, err)
		}
		now := time.Now()
		if event.Data == "[DONE]" {
			result.complete = true
			return result
		}
		var chunk struct {
			engine.ChunkBody
			Error *apierr.Detail `json:"error"`
		}
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return failedSample(result, err)
		}
		if chunk.Error != nil {
			result.errorCode, result.notRun = string(chunk.Error.Code), chunk.Error.NotRun
			return result
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		if result.tokens == 0 {
			result.timeToFirstToken = now.Sub(start)
		} else {
			result.tokenGaps = append(result.tokenGaps, now.Sub(last))
		}
		result.tokens++
		last = now
	}
	return failedSample(result, errNoEndMarker)
}

// sendCall calls the service with an idempotency key that is unique to the arrival.
func (d *driver) sendCall(ctx context.Context, a arrival, node int) sample {
	result := sample{arrival: a}
	header := http.Header{caller.HeaderIdempotencyKey: {fmt.Sprintf("%s-%d", d.runID, a.index)}}
	resp, err := d.doRequest(ctx, a, node, http.MethodPost, "/services/"+d.scenario.Calls.Service+"/", header, []byte("{}"))
	if err != nil {
		return failedSample(result, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusedSample(result, resp.Body)
	}
	var response struct {
		Run    int    `json:"run"`
		Server string `json:"server"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return failedSample(result, err)
	}
	result.complete, result.runCount, result.server = true, response.Run, response.Server
	return result
}

func (d *driver) doRequest(ctx context.Context, a arrival, node int, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.scenario.Nodes[node]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// With GetBody set, net/http would retry a request that has an idempotency
	// key when a kept-alive connection breaks.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+d.scenario.Workspaces[a.workspace].Key)
	req.Header.Set("Content-Type", "application/json")
	return d.httpClient.Do(req)
}

// failedSample returns s with the error code for a failure without an error response.
func failedSample(s sample, err error) sample {
	s.errorCode = "connection_failed"
	if errors.Is(err, context.DeadlineExceeded) {
		s.errorCode = "caller_timeout"
	}
	if errors.Is(err, errNoEndMarker) {
		s.errorCode = "cut"
	}
	return s
}

// refusedSample returns s with the error code and not_run of a node's error response.
func refusedSample(s sample, body io.Reader) sample {
	const maxErrorBytes = 64 << 10
	var e apierr.Body
	if err := json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&e); err != nil {
		s.errorCode = "malformed_error"
		return s
	}
	s.errorCode, s.notRun = strings.ToLower(string(e.Error.Code)), e.Error.NotRun
	return s
}
