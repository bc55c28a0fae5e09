package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"github.com/figweir/figweir/peer"
	"github.com/figweir/figweir/settings"
	"github.com/figweir/figweir/tcpstate"
)

// listeners holds the three listeners of a node and their servers.
type listeners struct {
	callers, peers, operators net.Listener
	// callerConns are the connections of callers.
	callerConns *tcpstate.Listener
	limits      settings.Limits

	callerServer, peerServer, operatorServer *http.Server
}

// openListeners opens the listeners, each limited to MaxConnections. It returns
// an error that names the address if one can't be opened.
func openListeners(s settings.Settings) (*listeners, error) {
	l := &listeners{limits: s.Limits}
	for _, entry := range []struct {
		address string
		to      *net.Listener
	}{{s.Listen.Callers, &l.callers}, {s.Listen.Peers, &l.peers}, {s.Listen.Operators, &l.operators}} {
		listener, err := net.Listen("tcp", entry.address)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("listen on %s: %w", entry.address, err)
		}
		if entry.to == &l.callers {
			l.callerConns = tcpstate.NewListener(listener)
			listener = l.callerConns
		}
		*entry.to = netutil.LimitListener(listener, s.Limits.MaxConnections)
	}
	return l, nil
}

// setHandlers creates the servers with their handlers.
func (l *listeners) setHandlers(callers, peers, operators http.Handler) {
	l.callerServer = l.newServer(callers)
	l.callerServer.ConnContext = l.callerConns.ConnContext
	l.peerServer = l.newServer(peers)
	l.peerServer.Protocols = peer.Protocols()
	// In HTTP/2, ReadTimeout applies to the body of each request, not to the
	// connection.
	l.peerServer.ReadTimeout = settings.SecondsToDuration(l.limits.BodyTimeoutSeconds)
	l.operatorServer = l.newServer(operators)
}

// newServer returns a server with the limits of the listeners.
func (l *listeners) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: settings.SecondsToDuration(l.limits.HeaderTimeoutSeconds),
		IdleTimeout:       settings.SecondsToDuration(l.limits.IdleTimeoutSeconds),
		MaxHeaderBytes:    l.limits.MaxHeaderBytes,
	}
}

// serve starts the servers and returns a channel that receives the error of each
// server that ends.
func (l *listeners) serve() <-chan error {
	failed := make(chan error, 3)
	go func() { failed <- l.callerServer.Serve(l.callers) }()
	go func() { failed <- l.peerServer.Serve(l.peers) }()
	go func() { failed <- l.operatorServer.Serve(l.operators) }()
	return failed
}

// drain stops the servers and waits at most for timeout. The server for callers
// stops first: its running requests still need the peers, and operators can
// observe the node until the end.
func (l *listeners) drain(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := l.callerServer.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, l.callerServer.Close())
	}
	// Peers keep their heartbeat connections open, so their server is closed without
	// waiting.
	return errors.Join(err, l.peerServer.Close(), l.operatorServer.Shutdown(ctx))
}

// close closes the listeners without waiting for running requests.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
