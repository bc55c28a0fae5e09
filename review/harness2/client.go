//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// connectTimeout is how long a client waits for a new connection.
const connectTimeout = time.Second

var attemptCount atomic.Int64

// newAttemptID returns the id of a client attempt.
func newAttemptID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, attemptCount.Add(1)) }

// clientRequest is one request of a client.
type clientRequest struct {
	method, path string
	// parts are the shared parts of the prompt; empty if the request has none.
	parts    []string
	deadline time.Duration
	body     []byte
}

// result is what a client has seen of one attempt.
type result struct {
	id     string
	sentAt time.Time
	status int
	// firstAt is when the first byte of the body arrived; zero if none did.
	firstAt time.Time
	// complete is set if the answer ended as its framing says.
	complete bool
	body     []byte
	err      error
}

// lastEvent returns the number of the last event of a stream.
func (r *result) lastEvent() int {
	last := 0
	scanner := bufio.NewScanner(bytes.NewReader(r.body))
	for scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			last, _ = strconv.Atoi(text)
		}
	}
	return last
}

// The lengths of a shared part and of the own part of a prompt, in tokens.
const (
	partTokens = 40
	ownTokens  = 60
)

// promptPrefix returns the header that lists the parts of a prompt, the last one being its own.
func promptPrefix(parts []string, own string) string {
	var b strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&b, "%s:%d,", p, partTokens)
	}
	fmt.Fprintf(&b, "%s:%d", own, ownTokens)
	return b.String()
}

// send sends one attempt to a node on a new connection and reads the answer to its end.
func (d *deployment) send(n *node, c clientRequest) result {
	res := result{id: newAttemptID("a"), sentAt: time.Now()}
	defer func() {
		d.record.logf("client: attempt %s to %s (%s, parts %d): status %d, complete %v, %d bytes, first after %d ms, error %v",
			res.id, n.name, c.path, len(c.parts), res.status, res.complete, len(res.body), res.firstAfter().Milliseconds(), res.err)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.callerAddress()+c.path, bytes.NewReader(c.body))
	if err != nil {
		res.err = err
		return res
	}
	r.Host = routeHost
	r.Header.Set("Attempt-Id", res.id)
	r.Header.Set("Api-Key", apiKey)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if len(c.parts) > 0 {
		r.Header.Set("Model-Name", "m")
		r.Header.Set("Token-Counts", fmt.Sprintf("%d,40", partTokens*len(c.parts)+ownTokens))
		r.Header.Set("Prompt-Prefix", promptPrefix(c.parts, "e"+res.id))
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status = resp.StatusCode
	res.read(resp.Body)
	return res
}

// firstAfter returns the time until the first byte of the body; 0 if there was none.
func (r *result) firstAfter() time.Duration {
	if r.firstAt.IsZero() {
		return 0
	}
	return r.firstAt.Sub(r.sentAt)
}

// read reads the body to its end.
func (r *result) read(body io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		k, err := body.Read(buffer)
		if k > 0 && r.firstAt.IsZero() {
			r.firstAt = time.Now()
		}
		r.body = append(r.body, buffer[:k]...)
		if err == io.EOF {
			r.complete = true
			return
		}
		if err != nil {
			r.err = err
			return
		}
	}
}
