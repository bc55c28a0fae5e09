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

// kinds are the kinds of request. Each has a route of the same name.
var kinds = []string{"unsafe", "safe", "stream", "resume"}

// crashPartInterval is how many streams there are to each one with a part that crashes
// engines.
const crashPartInterval = 10

// runClient sends requests one after another on keep-alive connections until
// ctx is canceled. It reuses an open connection until the node's process exits.
func (d *Deployment) runClient(ctx context.Context, index int) {
	rng := rand.New(rand.NewPCG(d.Seed, uint64(index)+100))
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4,
		ResponseHeaderTimeout: 5 * time.Second,
	}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		n := d.nodes[rng.IntN(len(d.nodes))]
		id := fmt.Sprintf("%x-%x-%x", d.Seed, index, i)
		kind := kinds[rng.IntN(len(kinds))]
		key := "key-a"
		if rng.IntN(4) == 0 && d.keyBValid.Load() {
			key = "key-b"
		}
		req := &sentRequest{kind: kind, key: key, sentAt: time.Now()}
		if rng.IntN(crashPartInterval) == 0 && (kind == "stream" || kind == "resume") {
			req.crashPart = *d.crashPart.Load()
		}
		d.recorder.addRequest(id, req)
		leaveAfter := noLeave
		if rng.IntN(20) == 0 {
			// Some callers disconnect before the response.
			leaveAfter = time.Duration(rng.IntN(60)) * time.Millisecond
		}
		d.sendRequest(transport, n, id, req, leaveAfter, rng)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// noLeave is the time after which a caller leaves that waits for its response.
const noLeave = time.Hour

const (
	// suspendedCallers is how many callers send to a node while its process is suspended, and
	// suspendedLeave when they leave.
	suspendedCallers = 20
	suspendedLeave   = 200 * time.Millisecond
)

// leaveSuspended sends requests to a node whose process is suspended. Their callers leave soon.
func (d *Deployment) leaveSuspended(n *node) {
	pause := d.pauses.Add(1)
	for i := range suspendedCallers {
		go func() {
			rng := rand.New(rand.NewPCG(d.Seed, uint64(i)))
			transport := &http.Transport{DisableKeepAlives: true}
			id := fmt.Sprintf("%x-left%d-%x", d.Seed, pause, i)
			req := &sentRequest{kind: kinds[i%len(kinds)], key: "key-a", sentAt: time.Now()}
			d.recorder.addRequest(id, req)
			d.sendRequest(transport, n, id, req, suspendedLeave, rng)
		}()
	}
}

// bodySizesBytes are the sizes of requests' bodies: one packet, and more than a node writes in one
// piece with the head.
var bodySizesBytes = []int{4, 600, 40 << 10}

// sendSingle sends one request over a new connection and returns the status of
// the response. The recorder checks whether the request was allowed to run.
func (d *Deployment) sendSingle(n *node, key string) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/safe/x", n.ip, callerPort), nil)
	if err != nil {
		return 0, err
	}
	r.Host = backendsim.Host
	id := fmt.Sprintf("%x-once-%d", d.Seed, n.index)
	d.recorder.addRequest(id, &sentRequest{kind: "safe", key: key, sentAt: time.Now()})
	backendsim.SetCallerHeaders(r.Header, id, key, time.Second)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// sendRequest sends one request, without retries, and records the response. The caller disconnects
// after leaveAfter.
func (d *Deployment) sendRequest(t *http.Transport, n *node, id string, req *sentRequest, leaveAfter time.Duration, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	leaving := time.AfterFunc(leaveAfter, func() {
		cancel()
		d.recorder.callerLeft(req)
	})
	defer leaving.Stop()
	method, body := http.MethodPost, io.Reader(strings.NewReader(strings.Repeat("b", bodySizesBytes[rng.IntN(len(bodySizesBytes))])))
	if req.kind == "safe" {
		method, body = http.MethodGet, nil
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d/%s/x?y=1", n.ip, callerPort, req.kind), body)
	if err != nil {
		return
	}
	r.Host = backendsim.Host
	// Each request has its own id, and without GetBody the transport retries none.
	r.GetBody = nil
	backendsim.SetCallerHeaders(r.Header, id, req.key, 3*time.Second)
	if req.kind == "stream" || req.kind == "resume" {
		backendsim.SetPromptHeaders(r.Header, id, rng.IntN(5), 50+rng.IntN(4000))
	}
	if req.crashPart != "" {
		backendsim.SetPromptParts(r.Header, id, "0", req.crashPart)
	}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	status, complete, problem := resp.StatusCode, false, ""
	if resp.StatusCode == http.StatusOK && err == nil {
		complete, problem = checkResponse(id, req.kind, string(text), resp.Header)
	}
	d.recorder.mu.Lock()
	req.status, req.complete, req.problem = status, complete, problem
	d.recorder.mu.Unlock()
}

// checkResponse compares a complete response with the expected one. A non-empty
// problem describes the difference.
func checkResponse(id, kind, text string, h http.Header) (complete bool, problem string) {
	if !backendsim.HasValidSignature(h, id) {
		return false, "the response has a wrong signature"
	}
	want := backendsim.Body(id)
	if kind == "stream" || kind == "resume" {
		want = ""
		for n := 1; n <= 12; n++ {
			want += backendsim.EventText(id, n)
		}
	}
	if text != want {
		return false, fmt.Sprintf("the response ended normally with %d of %d bytes: %.80q", len(text), len(want), text)
	}
	return true, ""
}
