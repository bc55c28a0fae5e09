package service

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// breakingServer answers the first request on each connection and, from then
// on, reads each request and closes the connection without an answer.
func breakingServer(t *testing.T, runs *atomic.Int64) string {
	t.Helper()
	seen := make(map[net.Conn]bool)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		conn := r.Context().Value(connKey{}).(net.Conn)
		if seen[conn] {
			panic(http.ErrAbortHandler)
		}
		seen[conn] = true
	}))
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

type connKey struct{}

func post(key string) Call {
	return Call{Method: http.MethodPost, Path: "/", Header: http.Header{"Idempotency-Key": {key}}, Body: []byte("{}")}
}

// Guards against net/http sending a call a second time: it does so for requests
// with an Idempotency-Key header when a kept-alive connection breaks.
func TestCallIsSentOnceWhenConnectionsBreak(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	address := breakingServer(t, &runs)
	c := NewClient()
	defer c.Close()
	for n := range 3 {
		_, err := c.Call(t.Context(), address, post("a"))
		is.True(err == nil || errors.Is(err, ErrUnknown))
		is.Equal(runs.Load(), int64(n+1)) // each call reaches the service once
	}
}

// Guards against a refusal that says "not run" for a call that was received.
func TestCallTellsNotSentFromUnknown(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	address := server.Listener.Addr().String()
	c := NewClient()
	defer c.Close()
	_, err := c.Call(t.Context(), address, post("a"))
	is.True(errors.Is(err, ErrUnknown))
	is.True(!errors.Is(err, ErrNotSent))
	server.Close()
	_, err = c.Call(t.Context(), address, post("a"))
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against a caller receiving part of an answer.
func TestCallRejectsTruncatedAnswer(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	c := NewClient()
	defer c.Close()
	_, err := c.Call(t.Context(), server.Listener.Addr().String(), post("a"))
	is.True(errors.Is(err, ErrUnknown))
}
