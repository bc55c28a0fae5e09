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
// one connection for each node, which keeps header bytes low.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		Protocols:             Protocols(),
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: headerTimeout,
		DisableCompression:    true,
	}}
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
