// Package inbound applies the account of what clients send (membudget.Inbound) to the HTTP servers of a
// process. Both daemons have one account, which all their listeners share.
package inbound

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/figweir/figweir/membudget"
)

// Protocol is the protocol of a listener.
type Protocol struct {
	// maxStreams is how many requests a connection of HTTP/2 may have open; 0 for HTTP/1.1.
	maxStreams int
}

// HTTP1 is HTTP/1.1.
var HTTP1 = Protocol{}

// HTTP2 returns HTTP/2 without TLS, with at most maxStreams open requests on a connection. A client that
// begins more on a new connection, since it doesn't know the limit yet, sends the others again, perhaps a
// second later.
func HTTP2(maxStreams int) Protocol { return Protocol{maxStreams} }

// isHTTP2 reports whether the protocol is HTTP/2.
func (p Protocol) isHTTP2() bool { return p.maxStreams > 0 }

// connectionBytes returns the memory of a connection without requests.
func (p Protocol) connectionBytes() int64 {
	if p.isHTTP2() {
		return http2ConnectionBytes + int64(p.maxStreams)*http2MaxHeaderBytes
	}
	return membudget.ConnectionBytes
}

// Listener wraps a listener so that its connections and their headers count in the account. It closes
// connections for which there is no room.
type Listener struct {
	net.Listener
	account  *membudget.Inbound
	name     string
	protocol Protocol
}

// NewListener wraps l. The name is the group of the connections whose workspace is not known.
func NewListener(l net.Listener, account *membudget.Inbound, name string, protocol Protocol) *Listener {
	return &Listener{Listener: l, account: account, name: name, protocol: protocol}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: c, protocol: l.protocol}
		if conn.account = l.account.Open(l.name, l.protocol.connectionBytes(), conn.interrupt); conn.account != nil {
			return conn, nil
		}
		_ = c.Close()
	}
}

// Conn is a connection that counts in the account.
type Conn struct {
	net.Conn
	account  *membudget.Connection
	protocol Protocol
	// framing follows the requests of HTTP/1.1.
	framing framing
	// interrupted is set when the account has ended the reads of the connection.
	interrupted atomic.Bool
}

// Account returns the account of the connection; nil if c is nil.
func (c *Conn) Account() *membudget.Connection {
	if c == nil {
		return nil
	}
	return c.account
}

// errNoSocket means that the wrapped connection gives no access to its socket.
var errNoSocket = errors.New("inbound: the connection has no socket")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return s.SyscallConn()
}

// Read implements net.Conn. It returns an error if there is no room for the header that is read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.protocol.isHTTP2() {
		c.account.AddProgress(n)
		return n, err
	}
	if err := c.account.AddHeader(n, bytes.Count(p[:n], []byte{'\n'})); err != nil {
		return 0, err
	}
	c.framing.read(p[:n])
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}

// longPast is a deadline that ends all reads.
var longPast = time.Unix(1, 0)

// SetReadDeadline implements net.Conn. Once the account has ended the reads, they stay ended.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil || !c.interrupted.Load() {
		return err
	}
	return c.Conn.SetReadDeadline(longPast)
}

// interrupt closes the connection, or ends only its reads if its request can still be answered.
func (c *Conn) interrupt(answer bool) {
	if answer {
		c.interrupted.Store(true)
		_ = c.Conn.SetReadDeadline(longPast)
		return
	}
	_ = c.Close()
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is the http.Server.ConnContext hook of servers on a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// TrackConnState is the http.Server.ConnState hook of servers on a Listener.
func TrackConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if ok && !conn.protocol.isHTTP2() && (state == http.StateIdle || state == http.StateNew) {
		conn.account.SetIdle()
	}
}
