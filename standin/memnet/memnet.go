// Package memnet is an in-memory stand-in for the network between nodes. It
// delivers HTTP calls to handlers in the same process, so that tests run the
// real clients and servers in virtual time, and injects faults on the way.
package memnet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// ErrRefused means that nothing listens at an address.
var ErrRefused = errors.New("memnet: connection refused")

// Faults apply to every message, in both directions of a call. A lost message
// shows as a call that runs until its context ends.
type Faults struct {
	// Loss is the share of messages that are lost.
	Loss float64
	// MaxDelay bounds the delay of a message, which is uniformly distributed.
	MaxDelay time.Duration
	// Side puts addresses on the sides of a partition; messages between two
	// sides are lost. Addresses that are not named are on side 0.
	Side map[string]int
}

// Counters count what has been delivered since the start.
type Counters struct {
	// Calls counts the calls whose reply was delivered.
	Calls int64
	// Bytes counts the bytes of their request and reply bodies; headers are not
	// counted.
	Bytes int64
}

// Network connects handlers by address. See New.
type Network struct {
	mu       sync.Mutex
	rng      *rand.Rand
	handlers map[string]http.Handler
	faults   Faults
	counters Counters
}

// New returns a network without faults; seed decides its random choices.
func New(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 1)), handlers: make(map[string]http.Handler)}
}

// Listen serves an address with handler; nil stops serving it.
func (n *Network) Listen(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// SetFaults replaces the faults.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Counters returns the present counters.
func (n *Network) Counters() Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counters
}

// Client is the HTTP client of one address. It has the Do method that connect
// clients need.
type Client struct {
	network *Network
	from    string
}

// Client returns the client that calls from an address.
func (n *Network) Client(from string) Client { return Client{network: n, from: from} }

// Do delivers a call. The handler runs on the caller's goroutine.
func (c Client) Do(request *http.Request) (*http.Response, error) {
	n, to := c.network, request.URL.Host
	if err := n.pass(request.Context(), c.from, to); err != nil {
		return nil, err
	}
	n.mu.Lock()
	handler := n.handlers[to]
	n.mu.Unlock()
	if handler == nil {
		return nil, ErrRefused
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	if err := n.pass(request.Context(), to, c.from); err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.counters.Calls++
	n.counters.Bytes += max(request.ContentLength, 0) + int64(recorder.Body.Len())
	n.mu.Unlock()
	return recorder.Result(), nil
}

// pass lets one message through, late or not at all.
func (n *Network) pass(ctx context.Context, from, to string) error {
	n.mu.Lock()
	f := n.faults
	lost := f.Side[from] != f.Side[to] || n.rng.Float64() < f.Loss
	var delay time.Duration
	if f.MaxDelay > 0 {
		delay = time.Duration(n.rng.Int64N(int64(f.MaxDelay)))
	}
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
