package e2e

import (
	"bytes"
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

// refusal is an error answer.
type refusal struct {
	status int
	detail apierr.Detail
}

func (r *refusal) Error() string {
	return fmt.Sprintf("status %d, code %s, not_run %v: %s", r.status, r.detail.Code, r.detail.NotRun, r.detail.Message)
}

// errNotWhole means that an answer ended without its end marker or an error.
var errNotWhole = errors.New("the answer ended without its end marker")

// notRun reports whether err is a refusal that says that nothing ran.
func notRun(err error) bool {
	var r *refusal
	return errors.As(err, &r) && r.detail.NotRun
}

// code returns the code of a refusal, or "" for anything else.
func code(err error) apierr.Code {
	var r *refusal
	if errors.As(err, &r) {
		return r.detail.Code
	}
	return ""
}

// request is one request of a caller.
type request struct {
	key    string
	method string
	path   string
	header http.Header
	body   any
}

func (d *deployment) do(node int, r request) (*http.Response, error) {
	raw, err := json.Marshal(r.body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(r.method, "http://"+d.nodes[node].settings.Listen.Callers+r.path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http doesn't send a request with an idempotency key
	// again by itself, which would hide the first failure.
	req.GetBody = nil
	for name, values := range r.header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	var e apierr.Body
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return nil, fmt.Errorf("status %d without an error body: %w", resp.StatusCode, err)
	}
	return nil, &refusal{status: resp.StatusCode, detail: e.Error}
}

// message is one message of a chat request.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat is a chat request whose whole answer is known.
type chat struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Seed      int64     `json:"seed"`
	Messages  []message `json:"messages"`
}

func newChat(prompt string, tokens int, stream bool) chat {
	return chat{Model: model, Stream: stream, MaxTokens: tokens, Seed: 7, Messages: []message{{"user", prompt}}}
}

func (c chat) whole() string {
	return standin.Answer(c.Model, c.Messages[0].Content, c.Seed, c.MaxTokens)
}

// chat sends a chat request and returns nil if its whole answer came. onToken,
// if set, is called for each token of a stream.
func (d *deployment) chat(node int, key string, c chat, onToken func()) error {
	resp, err := d.do(node, request{key: key, method: http.MethodPost, path: "/v1/chat/completions", body: c})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	read := readAnswer
	if c.Stream {
		read = func(r io.Reader) (string, error) { return readStream(r, onToken) }
	}
	text, err := read(resp.Body)
	if err != nil {
		return fmt.Errorf("after %d bytes: %w", len(text), err)
	}
	if want := c.whole(); text != want {
		return fmt.Errorf("answer of %d bytes differs from the %d bytes of the whole one", len(text), len(want))
	}
	return nil
}

func readAnswer(r io.Reader) (string, error) {
	var answer struct {
		Choices []struct {
			Message engine.Delta `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(r).Decode(&answer); err != nil {
		return "", err
	}
	if len(answer.Choices) == 0 {
		return "", errNotWhole
	}
	return answer.Choices[0].Message.Content, nil
}

func readStream(r io.Reader, onToken func()) (string, error) {
	var text strings.Builder
	for event, err := range sse.Read(r, nil) {
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
			return text.String(), &refusal{status: http.StatusOK, detail: *chunk.Error}
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			text.WriteString(chunk.Choices[0].Delta.Content)
			if onToken != nil {
				onToken()
			}
		}
	}
	return text.String(), errNotWhole
}

// booking is the body of a call that must not be repeated.
type booking struct {
	Slot string `json:"slot"`
}

// call makes a call that must not be repeated and returns the service's answer.
func (d *deployment) call(node int, idempotencyKey string) (service.Answer, error) {
	resp, err := d.do(node, request{
		key: d.key, method: http.MethodPost, path: "/services/" + serviceName + "/bookings",
		header: http.Header{caller.HeaderIdempotencyKey: {idempotencyKey}}, body: booking{Slot: idempotencyKey},
	})
	if err != nil {
		return service.Answer{}, err
	}
	defer resp.Body.Close()
	var answer service.Answer
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, err
}

// runs returns how often a call has run, over all servers of the service. It
// asks each service stand-in by making the same call there, whose answer counts
// it, so that it is used once for a key, after the calls through the nodes.
func (d *deployment) runs(idempotencyKey string) int {
	d.t.Helper()
	total := 0
	for _, address := range d.services {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/bookings", strings.NewReader("{}"))
		if err != nil {
			d.t.Fatal(err)
		}
		req.Header.Set(service.HeaderIdempotencyKey, idempotencyKey)
		resp, err := d.http.Do(req)
		if err != nil {
			d.t.Fatal(err)
		}
		var answer service.Answer
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err != nil {
			d.t.Fatal(err)
		}
		total += answer.Run - 1
	}
	return total
}

// setServiceFaults sets the faults of all service stand-ins.
func (d *deployment) setServiceFaults(f service.Faults) {
	d.t.Helper()
	raw, err := json.Marshal(f)
	if err != nil {
		d.t.Fatal(err)
	}
	for _, address := range d.services {
		req, err := http.NewRequest(http.MethodPut, "http://"+address+"/v1/faults", bytes.NewReader(raw))
		if err != nil {
			d.t.Fatal(err)
		}
		resp, err := d.http.Do(req)
		if err != nil {
			d.t.Fatal(err)
		}
		resp.Body.Close()
	}
}
