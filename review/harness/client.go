package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client has got.
type answer struct {
	status int
	body   string
	err    error
	took   time.Duration
	// retryAfter is the time that a refusal stated; 0 if none.
	retryAfter time.Duration
}

// request is what a client sends.
type request struct {
	method, path string
	id           string
	deadline     time.Duration
	parts        []string
	tokens       string
	// key is the API key; empty for apiKey.
	key string
}

var lastID atomic.Uint64

// newID returns an id that no other attempt has.
func newID(kind string) string {
	return fmt.Sprintf("%s%012x", kind, uint64(time.Now().Unix())<<16|lastID.Add(1))
}

// send sends a request on a new connection and reads the whole answer.
func send(g *gatewayProcess, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+500*time.Millisecond)
	defer cancel()
	var body io.Reader
	if q.method != http.MethodGet {
		body = bytes.NewReader([]byte(strings.Repeat("x", 600)))
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+g.callers+q.path, body)
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("Attempt-Id", q.id)
	r.Header.Set("Api-Key", cmp.Or(q.key, apiKey))
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if len(q.parts) > 0 {
		r.Header.Set("Model-Name", "m")
		r.Header.Set("Token-Counts", q.tokens)
		r.Header.Set("Prompt-Prefix", strings.Join(q.parts, ","))
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	start := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return answer{status: resp.StatusCode, body: string(raw), err: err, took: time.Since(start), retryAfter: time.Duration(seconds * float64(time.Second))}
}

// text returns the answer in one line.
func (a answer) text() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, error %q after %d ms", a.status, a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, %d bytes after %d ms, retry after %d ms", a.status, len(a.body), a.took.Milliseconds(), a.retryAfter.Milliseconds())
}
