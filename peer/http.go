package peer

import (
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
)

const (
	// idleTimeout is longer than the time between two heartbeats to the same node,
	// which is at most 8 s, so that their connection stays open. Connections opened
	// to query every node about an operator's change are closed soon.
	idleTimeout = 20 * time.Second
	// headerTimeout limits the wait for the response headers of a call to a node
	// that does not respond.
	headerTimeout = 2 * time.Second
	// maxQueryBytes is the maximum size of requests that name what they ask for and carry no data.
	// It also bounds what a compressed one becomes.
	maxQueryBytes = 4 << 10
)

// NewHTTPClient returns a client for calls between nodes. It uses HTTP/2 without
// TLS with one connection per node, so that header compression is effective.
// After a failed call, running calls continue on the old connection and later
// calls open a new one.
func NewHTTPClient() *http.Client { return &http.Client{Transport: &hostTransports{}} }

// newTransport returns the transport for one node.
func newTransport() *http.Transport {
	return &http.Transport{
		Protocols:             Protocols(),
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,
	}
}

// hostTransports holds one transport per node. It replaces the transport after a
// failed call, because HTTP/2 would continue to use a connection on which no data
// arrives anymore.
type hostTransports struct {
	byHost sync.Map // string → *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *hostTransports) RoundTrip(r *http.Request) (*http.Response, error) {
	found, ok := t.byHost.Load(r.URL.Host)
	if !ok {
		found, _ = t.byHost.LoadOrStore(r.URL.Host, newTransport())
	}
	transport := found.(*http.Transport)
	response, err := transport.RoundTrip(r)
	if err != nil && t.byHost.CompareAndDelete(r.URL.Host, transport) {
		transport.CloseIdleConnections()
	}
	return response, err
}

// CloseIdleConnections closes the idle connections to all nodes.
// http.Client.CloseIdleConnections calls it.
func (t *hostTransports) CloseIdleConnections() {
	t.byHost.Range(func(_, transport any) bool {
		transport.(*http.Transport).CloseIdleConnections()
		return true
	})
}

// Protocols returns the protocols that the http.Server of a peer listener must
// support: unencrypted HTTP/2.
func Protocols() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// clientCache caches one generated connect client per address.
type clientCache[T any] struct {
	make       func(httpClient connect.HTTPClient, baseURL string, options ...connect.ClientOption) T
	httpClient connect.HTTPClient
	options    []connect.ClientOption
	byAddress  sync.Map // string → T
}

// get returns the client for an address and creates it if necessary.
func (c *clientCache[T]) get(address string) T {
	if client, ok := c.byAddress.Load(address); ok {
		return client.(T)
	}
	client, _ := c.byAddress.LoadOrStore(address, c.make(c.httpClient, "http://"+address, c.options...))
	return client.(T)
}
