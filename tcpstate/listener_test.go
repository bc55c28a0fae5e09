package tcpstate

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/netutil"
)

// TestPeerOfRequestIsSeenBehindWrappers guards against a caller's close that isn't seen because
// another listener wraps the connection, and against one connection taken for another.
func TestPeerOfRequestIsSeenBehindWrappers(t *testing.T) {
	is := is.New(t)
	base, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer base.Close()
	l := NewListener(base)
	limited := netutil.LimitListener(l, 10)
	accept := func() (client, server net.Conn, ctx context.Context) {
		client, err := net.Dial("tcp", base.Addr().String())
		is.NoErr(err)
		server, err = limited.Accept()
		is.NoErr(err)
		return client, server, l.ConnContext(t.Context(), server)
	}
	leaving, server, ctx := accept()
	staying, otherServer, otherCtx := accept()
	defer staying.Close()
	is.NoErr(CheckPeer(ctx))
	is.NoErr(leaving.Close())
	for CheckPeer(ctx) == nil {
		time.Sleep(time.Millisecond)
	}
	is.Equal(CheckPeer(ctx), ErrPeerClosed)
	is.Equal(CheckPeer(context.WithoutCancel(ctx)), ErrPeerClosed)
	is.NoErr(CheckPeer(otherCtx))
	is.NoErr(CheckPeer(t.Context()))
	is.NoErr(server.Close())
	is.NoErr(otherServer.Close())
	left := 0
	l.open.Range(func(any, any) bool { left++; return true })
	is.Equal(left, 0)
}
