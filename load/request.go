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

// errNoEnd means that a stream ended without its end marker and without an
// error.
var errNoEnd = errors.New("load: stream ended without end marker")

// sample is what one caller saw.
type sample struct {
	arrival arrival
	// whole is true if the answer came with its end marker.
	whole      bool
	tokens     int
	firstToken time.Duration
	gaps       []time.Duration
	// code is the error code of a refusal or failure.
	code   string
	notRun bool
	// run is how often the server says that it has run the call, and server is
	// that server. Each server of a pool counts for itself.
	run    int
	server string
}

type driver struct {
	scenario *Scenario
	http     *http.Client
	// runID separates the idempotency keys of runs.
	runID string
}

func newDriver(s *Scenario, runID string) *driver {
	const maxIdleConns = 256
	return &driver{scenario: s, runID: runID, http: &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns,
	}}}
}

// send makes one request and returns what came of it.
func (d *driver) send(ctx context.Context, a arrival, node int) sample {
	ctx, cancel := context.WithTimeout(ctx, seconds(d.scenario.RequestTimeoutSeconds))
	defer cancel()
	if a.call {
		return d.call(ctx, a, node)
	}
	return d.chat(ctx, a, node)
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

func (d *driver) chat(ctx context.Context, a arrival, node int) sample {
	out := sample{arrival: a}
	body, err := json.Marshal(chatRequest{Model: d.scenario.Model, Stream: a.stream, MaxTokens: a.output, Messages: []chatMessage{{"user", a.prompt}}})
	if err != nil {
		return failed(out, err)
	}
	start := time.Now()
	resp, err := d.do(ctx, a, node, http.MethodPost, "/v1/chat/completions", nil, body)
	if err != nil {
		return failed(out, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(out, resp.Body)
	}
	last := start
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return failed(out, err)
		}
		now := time.Now()
		if event.Data == "[DONE]" {
			out.whole = true
			return out
		}
		var chunk struct {
			engine.ChunkBody
			Error *apierr.Detail `json:"error"`
		}
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return failed(out, err)
		}
		if chunk.Error != nil {
			out.code, out.notRun = string(chunk.Error.Code), chunk.Error.NotRun
			return out
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		if out.tokens == 0 {
			out.firstToken = now.Sub(start)
		} else {
			out.gaps = append(out.gaps, now.Sub(last))
		}
		out.tokens++
		last = now
	}
	return failed(out, errNoEnd)
}

func (d *driver) call(ctx context.Context, a arrival, node int) sample {
	out := sample{arrival: a}
	header := http.Header{caller.HeaderIdempotencyKey: {fmt.Sprintf("%s-%d", d.runID, a.number)}}
	resp, err := d.do(ctx, a, node, http.MethodPost, "/services/"+d.scenario.Calls.Service+"/", header, []byte("{}"))
	if err != nil {
		return failed(out, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(out, resp.Body)
	}
	var answer struct {
		Run    int    `json:"run"`
		Server string `json:"server"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return failed(out, err)
	}
	out.whole, out.run, out.server = true, answer.Run, answer.Server
	return out
}

func (d *driver) do(ctx context.Context, a arrival, node int, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.scenario.Nodes[node]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http doesn't send a request with an idempotency key
	// again by itself when a kept-alive connection breaks.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+d.scenario.Workspaces[a.workspace].Key)
	req.Header.Set("Content-Type", "application/json")
	return d.http.Do(req)
}

func failed(s sample, err error) sample {
	s.code = "connection_failed"
	if errors.Is(err, context.DeadlineExceeded) {
		s.code = "caller_timeout"
	}
	if errors.Is(err, errNoEnd) {
		s.code = "cut"
	}
	return s
}

func refused(s sample, body io.Reader) sample {
	const maxErrorBytes = 64 << 10
	var e apierr.Body
	if err := json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&e); err != nil {
		s.code = "malformed_error"
		return s
	}
	s.code, s.notRun = strings.ToLower(string(e.Error.Code)), e.Error.NotRun
	return s
}
