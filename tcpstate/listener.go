package tcpstate

import (
	"context"
	"errors"
	"net"
	"sync"
)

// ErrPeerClosed means that a request was not sent on because its caller has closed the connection.
var ErrPeerClosed = errors.New("the caller has closed its connection")

// Listener lets the handlers of requests look at the connections that it accepts, also if another
// listener wraps them.
type Listener struct {
	net.Listener
	// open holds the connections by the address of the peer.
	open sync.Map
}

// NewListener wraps l.
func NewListener(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	peer := c.RemoteAddr().String()
	l.open.Store(peer, c)
	return &trackedConn{Conn: c, onClose: func() { l.open.CompareAndDelete(peer, c) }}, nil
}

// trackedConn is a connection that its listener forgets when it is closed.
type trackedConn struct {
	net.Conn
	onClose func()
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// connKey is the context key of a connection.
type connKey struct{}

// ConnContext is the http.Server.ConnContext hook of a server on the listener.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if accepted, ok := l.open.Load(c.RemoteAddr().String()); ok {
		return context.WithValue(ctx, connKey{}, accepted)
	}
	return ctx
}

// CheckPeer returns ErrPeerClosed if ctx belongs to a request whose caller has closed the connection.
// Otherwise, and if the connection can't be looked at, it returns nil.
func CheckPeer(ctx context.Context) error {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	if closed, err := PeerClosed(c); err == nil && closed {
		return ErrPeerClosed
	}
	return nil
}
