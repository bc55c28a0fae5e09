package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/tmaxmax/go-sse"

	"github.com/figweir/figweir/apierr"
	"github.com/figweir/figweir/caller"
	"github.com/figweir/figweir/engine"
	standin "github.com/figweir/figweir/standin/engine"
	"github.com/figweir/figweir/standin/service"
)

// CheckResult counts the requests that Check sent. Failed describes each request
// whose response was wrong.
type CheckResult struct {
	Sent   int      `json:"sent"`
	Passed int      `json:"passed"`
	Failed []string `json:"failed,omitempty"`
}

// Check sends every kind of request through every node and verifies the
// responses.
func (d *Deployment) Check(ctx context.Context) CheckResult {
	var result CheckResult
	record := func(name string, err error) {
		result.Sent++
		if err != nil {
			result.Failed = append(result.Failed, fmt.Sprintf("%s: %v", name, err))
			return
		}
		result.Passed++
	}
	for i := range d.Nodes {
		prefix := fmt.Sprintf("node %d: ", i+1)
		record(prefix+"chat", d.checkChat(ctx, i, false))
		record(prefix+"chat streamed", d.checkChat(ctx, i, true))
		record(prefix+"idempotent call", d.checkGet(ctx, i, "/services/"+Service+"/standings", d.Key, http.StatusOK))
		record(prefix+"open route", d.checkGet(ctx, i, "/services/"+OpenService+"/", "", http.StatusOK))
		record(prefix+"missing key", d.checkGet(ctx, i, "/services/"+Service+"/standings", "", http.StatusUnauthorized))
		record(prefix+"wrong key", d.checkGet(ctx, i, "/v1/models", d.Key+"0", http.StatusUnauthorized))
		record(prefix+"withdrawn key", d.checkGet(ctx, i, "/v1/models", d.WithdrawnKey, http.StatusUnauthorized))
		record(prefix+"models", d.checkGet(ctx, i, "/v1/models", d.Key, http.StatusOK))
	}
	record("call that must run once", d.checkRunsOnce(ctx))
	return result
}

// checkOutputTokens is the length of the responses that Check requests, in
// tokens.
const checkOutputTokens = 12

func (d *Deployment) checkChat(ctx context.Context, i int, stream bool) error {
	prompt := fmt.Sprintf("summarise order %d", i)
	text, err := d.Chat(ctx, i, ChatRequest{Key: d.Key, Prompt: prompt, Tokens: checkOutputTokens, Stream: stream, Seed: 7})
	if err != nil {
		return err
	}
	if want := standin.ExpectedAnswer(Model, prompt, 7, checkOutputTokens); text != want {
		return fmt.Errorf("response %q, want %q", text, want)
	}
	return nil
}

func (d *Deployment) checkGet(ctx context.Context, i int, path, key string, want int) error {
	status, _, err := d.doRequest(ctx, i, http.MethodGet, path, key, nil, nil)
	if err != nil {
		return err
	}
	if status != want {
		return fmt.Errorf("status %d, want %d", status, want)
	}
	return nil
}

// checkRunsOnce sends the same call through every node and checks that it ran
// only once.
func (d *Deployment) checkRunsOnce(ctx context.Context) error {
	header := http.Header{caller.HeaderIdempotencyKey: {"demo-booking-1"}}
	var first []byte
	for i := range d.Nodes {
		status, body, err := d.doRequest(ctx, i, http.MethodPost, "/services/"+Service+"/bookings", d.Key, header, []byte(`{"slot":"09:00"}`))
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, body)
		}
		if first == nil {
			first = body
		}
		if !bytes.Equal(body, first) {
			return fmt.Errorf("the repeated call returned %s, the first one %s", body, first)
		}
	}
	var response service.Answer
	if err := json.Unmarshal(first, &response); err != nil {
		return err
	}
	if runs := d.Runs.Count("demo-booking-1"); runs != 1 {
		return fmt.Errorf("the call ran %d times", runs)
	}
	return nil
}

// ChatRequest describes the request that Chat sends. Tokens is the length of the
// requested response.
type ChatRequest struct {
	Key    string
	Prompt string
	Tokens int
	Seed   int64
	Stream bool
}

// ChatError is an error response to a chat request, or an error event in its
// stream.
type ChatError struct {
	Status int
	Detail apierr.Detail
	// Text is the part of the response that was received before the error.
	Text string
}

// Error implements error.
func (e *ChatError) Error() string {
	return fmt.Sprintf("status %d, code %s: %s", e.Status, e.Detail.Code, e.Detail.Message)
}

// ErrNoEndMarker means that a stream ended with neither the end marker nor an
// error.
var ErrNoEndMarker = errors.New("demo: stream ended without end marker")

// Chat sends a chat request through node i and returns the text of the complete
// response. It returns a *ChatError for an error response and ErrNoEndMarker or
// another error for an incomplete one.
func (d *Deployment) Chat(ctx context.Context, i int, c ChatRequest) (string, error) {
	body, err := json.Marshal(map[string]any{
		"model": Model, "stream": c.Stream, "max_tokens": c.Tokens, "seed": c.Seed,
		"messages": []map[string]string{{"role": "user", "content": c.Prompt}},
	})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.CallerURL(i)+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var e apierr.Body
		_ = json.NewDecoder(resp.Body).Decode(&e)
		return "", &ChatError{Status: resp.StatusCode, Detail: e.Error}
	}
	if c.Stream {
		return readStream(resp.Body)
	}
	var response struct {
		Choices []struct {
			Message engine.Delta `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return "", err
	}
	return response.Choices[0].Message.Content, nil
}

// readStream returns the text of a stream. If the stream fails, it returns the text
// so far with the error.
func readStream(body io.Reader) (string, error) {
	var text strings.Builder
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return text.String(), err
		}
		if event.Data == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			engine.ChunkBody
			Error *apierr.Detail `json:"error"`
		}
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return text.String(), err
		}
		if chunk.Error != nil {
			return text.String(), &ChatError{Status: http.StatusOK, Detail: *chunk.Error, Text: text.String()}
		}
		if len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String(), ErrNoEndMarker
}

func (d *Deployment) doRequest(ctx context.Context, i int, method, path, key string, header http.Header, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, d.CallerURL(i)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}
