// Package memnet is an in-memory stand-in for the network between nodes. It passes
// HTTP calls to handlers in the same process and injects faults, so that tests can
// run the real clients and servers in virtual time.
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

// ErrRefused is returned for a call to an address without a handler.
var ErrRefused = errors.New("memnet: connection refused")

// Faults selects the faults of all messages. A call consists of two messages, the
// request and the reply. If one is lost, the call blocks until its context ends.
type Faults struct {
	// LossRate is the probability, from 0 to 1, that a message is lost.
	LossRate float64
	// MaxDelay is the upper limit of the delay of a message, which is uniformly
	// distributed.
	MaxDelay time.Duration
	// PartitionSide assigns addresses to the sides of a network partition. Messages
	// between different sides are lost. Addresses that are not in the map are on
	// side 0.
	PartitionSide map[string]int
}

// Counters are totals of the calls delivered since the network was created.
type Counters struct {
	// Calls is the number of calls whose reply was delivered.
	Calls int64
	// Bytes is the size of the request and reply bodies of these calls, without
	// headers.
	Bytes int64
}

// Network connects clients with handlers by address. It is safe for concurrent use.
// Use New to create one.
type Network struct {
	mu       sync.Mutex
	rng      *rand.Rand
	handlers map[string]http.Handler
	faults   Faults
	counters Counters
}

// New returns a network without faults. The seed determines which messages are lost
// and their delays.
func New(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 1)), handlers: make(map[string]http.Handler)}
}

// Listen registers the handler of an address. nil removes it.
func (n *Network) Listen(address string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// SetFaults replaces the injected faults.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Counters returns the current totals.
func (n *Network) Counters() Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counters
}

// Client makes HTTP calls from one address. Its Do method implements
// connect.HTTPClient.
type Client struct {
	network     *Network
	fromAddress string
}

// Client returns a client that makes calls from the given address.
func (n *Network) Client(from string) Client { return Client{network: n, fromAddress: from} }

// Do makes a call. The handler runs in the caller's goroutine. Do returns ErrRefused
// if the address has no handler, and the context's error if a message was lost or
// delayed until the context ended.
func (c Client) Do(request *http.Request) (*http.Response, error) {
	n, to := c.network, request.URL.Host
	if err := n.transmit(request.Context(), c.fromAddress, to); err != nil {
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
	if err := n.transmit(request.Context(), to, c.fromAddress); err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.counters.Calls++
	n.counters.Bytes += max(request.ContentLength, 0) + int64(recorder.Body.Len())
	n.mu.Unlock()
	return recorder.Result(), nil
}

// transmit waits for the delay of one message. If the message is lost, it waits until
// the context ends and returns the context's error.
func (n *Network) transmit(ctx context.Context, from, to string) error {
	n.mu.Lock()
	faults := n.faults
	dropped := faults.PartitionSide[from] != faults.PartitionSide[to] || n.rng.Float64() < faults.LossRate
	var delay time.Duration
	if faults.MaxDelay > 0 {
		delay = time.Duration(n.rng.Int64N(int64(faults.MaxDelay)))
	}
	n.mu.Unlock()
	if dropped {
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
