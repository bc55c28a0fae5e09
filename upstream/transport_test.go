package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figweir/figweir/tcpstate"
)

// acceptCaller returns a connection of a caller and the context of a request on it.
func acceptCaller(t *testing.T) (caller net.Conn, ctx context.Context) {
	t.Helper()
	base, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = base.Close() })
	l := tcpstate.NewListener(base)
	caller, err = net.Dial("tcp", base.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = caller.Close(), accepted.Close() })
	return caller, l.ConnContext(t.Context(), accepted)
}

// TestTransportSendsNothingForCallerWhoLeft guards against requests that are sent on an idle
// connection, or on a new one after the time that it takes, although the caller has left.
func TestTransportSendsNothingForCallerWhoLeft(t *testing.T) {
	for _, whileDialing := range []bool{false, true} {
		is := is.New(t)
		var requests atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
		defer server.Close()
		caller, ctx := acceptCaller(t)
		leave := func() {
			is.NoErr(caller.Close())
			for tcpstate.CheckPeer(ctx) == nil {
				time.Sleep(time.Millisecond)
			}
		}
		dialer := &net.Dialer{}
		if whileDialing {
			dialer.Control = func(string, string, syscall.RawConn) error { leave(); return nil }
		}
		transport := NewCallerTransport(&http.Transport{}, dialer)
		defer transport.CloseIdleConnections()
		get := func(ctx context.Context) error {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			is.NoErr(err)
			resp, err := (&http.Client{Transport: transport}).Do(r)
			if err != nil {
				return err
			}
			return resp.Body.Close()
		}
		if !whileDialing {
			is.NoErr(get(t.Context())) // leaves an idle connection
			leave()
			requests.Store(0)
		}
		is.True(errors.Is(get(ctx), tcpstate.ErrPeerClosed))
		is.Equal(requests.Load(), int64(0))
	}
}
