package peer

import (
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
)

const (
	// idleTimeout keeps connections between two heartbeats to the same node,
	// which are at most 8 s apart, and soon frees those of an operator's change,
	// which asks every node.
	idleTimeout = 20 * time.Second
	// headerTimeout ends a call to a node that has stopped answering.
	headerTimeout = 2 * time.Second
)

// NewHTTPClient returns a client for calls between nodes: HTTP/2 without TLS,
// one connection for each node, which keeps header bytes low. A call that fails
// leaves its connection to the calls before it; the next one opens another.
func NewHTTPClient() *http.Client { return &http.Client{Transport: &transports{}} }

func newTransport() *http.Transport {
	return &http.Transport{
		Protocols:             Protocols(),
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,
	}
}

// transports holds a transport for each node. HTTP/2 goes on using a connection
// that has fallen silent, so a transport is replaced when a call over it fails.
type transports struct {
	byHost sync.Map // string → *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *transports) RoundTrip(r *http.Request) (*http.Response, error) {
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

// CloseIdleConnections is called by the method of http.Client.
func (t *transports) CloseIdleConnections() {
	t.byHost.Range(func(_, transport any) bool {
		transport.(*http.Transport).CloseIdleConnections()
		return true
	})
}

// Protocols returns what the peer listener's http.Server must speak.
func Protocols() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// clients caches one generated client for each address.
type clients[T any] struct {
	make      func(httpClient connect.HTTPClient, baseURL string, options ...connect.ClientOption) T
	http      connect.HTTPClient
	options   []connect.ClientOption
	byAddress sync.Map // string → T
}

func (c *clients[T]) get(address string) T {
	if client, ok := c.byAddress.Load(address); ok {
		return client.(T)
	}
	client, _ := c.byAddress.LoadOrStore(address, c.make(c.http, "http://"+address, c.options...))
	return client.(T)
}
