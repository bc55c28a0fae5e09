package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/figweir/figweir/platform/backendsim"
)

// kinds are the kinds of request; each has a route of its name.
var kinds = []string{"unsafe", "safe", "stream", "resume"}

// client sends requests one after another on kept connections until ctx ends. It
// keeps using an open connection until the process is gone.
func (w *World) client(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(w.Seed, uint64(number)+100))
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4,
		ResponseHeaderTimeout: 5 * time.Second,
	}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		n := w.nodes[random.IntN(len(w.nodes))]
		id := fmt.Sprintf("%x-%x-%x", w.Seed, number, i)
		kind := kinds[random.IntN(len(kinds))]
		key := "key-a"
		if random.IntN(4) == 0 && w.keyB.Load() {
			key = "key-b"
		}
		a := &asked{kind: kind, key: key, sent: time.Now()}
		w.ledger.ask(id, a)
		w.request(transport, n, id, a, random)
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// askOnce sends one request over a new connection and returns the status of its
// answer. The ledger judges whether it may run.
func (w *World) askOnce(n *node, key string) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/safe/x", n.ip, callerPort), nil)
	if err != nil {
		return 0, err
	}
	r.Host = backendsim.Host
	id := fmt.Sprintf("%x-once-%d", w.Seed, n.index)
	w.ledger.ask(id, &asked{kind: "safe", key: key, sent: time.Now()})
	backendsim.Sign(r.Header, id, key, time.Second)
	transport := &http.Transport{DisableKeepAlives: true}
	answer, err := transport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	return answer.StatusCode, answer.Body.Close()
}

// request sends one request once and notes its answer.
func (w *World) request(t *http.Transport, n *node, id string, a *asked, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	if random.IntN(20) == 0 {
		// Some callers leave early.
		time.AfterFunc(time.Duration(random.IntN(60))*time.Millisecond, cancel)
	}
	method, body := http.MethodPost, io.Reader(strings.NewReader("body"))
	if a.kind == "safe" {
		method, body = http.MethodGet, nil
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d/%s/x?y=1", n.ip, callerPort, a.kind), body)
	if err != nil {
		return
	}
	r.Host = backendsim.Host
	// Without GetBody, and with an id for each request, nothing is sent twice.
	r.GetBody = nil
	backendsim.Sign(r.Header, id, a.key, 3*time.Second)
	if a.kind == "stream" || a.kind == "resume" {
		backendsim.DescribePrompt(r.Header, id, random.IntN(5), 50+random.IntN(4000))
	}
	answer, err := t.RoundTrip(r)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	status, whole, problem := answer.StatusCode, false, ""
	if answer.StatusCode == http.StatusOK && err == nil {
		whole, problem = check(id, a.kind, string(text), answer.Header)
	}
	w.ledger.mu.Lock()
	a.status, a.whole, a.problem = status, whole, problem
	w.ledger.mu.Unlock()
}

// check compares a complete answer with the one that belongs to the request.
func check(id, kind, text string, h http.Header) (whole bool, problem string) {
	if !backendsim.Signed(h, id) {
		return false, "the answer has another signature"
	}
	want := backendsim.Body(id)
	if kind == "stream" || kind == "resume" {
		want = ""
		for n := 1; n <= 12; n++ {
			want += backendsim.EventText(id, n)
		}
	}
	if text != want {
		return false, fmt.Sprintf("the answer ended as complete with %d of %d bytes: %.80q", len(text), len(want), text)
	}
	return true, ""
}
