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
)

// listeners are the three listeners of a node with their servers.
type listeners struct {
	callers, peers, operators net.Listener
	limits                    settings.Limits

	callerServer, peerServer, operatorServer *http.Server
}

func openListeners(s settings.Settings) (*listeners, error) {
	l := &listeners{limits: s.Limits}
	for _, entry := range []struct {
		address string
		to      *net.Listener
	}{{s.Listen.Callers, &l.callers}, {s.Listen.Peers, &l.peers}, {s.Listen.Operators, &l.operators}} {
		opened, err := net.Listen("tcp", entry.address)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("listen on %s: %w", entry.address, err)
		}
		*entry.to = netutil.LimitListener(opened, s.Limits.MaxConnections)
	}
	return l, nil
}

// handle sets the handlers of the servers.
func (l *listeners) handle(callers, peers, operators http.Handler) {
	l.callerServer = l.server(callers)
	l.peerServer = l.server(peers)
	l.peerServer.Protocols = peer.Protocols()
	// HTTP/2 applies this to the body of each request, not to the connection.
	l.peerServer.ReadTimeout = settings.Seconds(l.limits.BodyTimeoutSeconds)
	l.operatorServer = l.server(operators)
}

func (l *listeners) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: settings.Seconds(l.limits.HeaderTimeoutSeconds),
		IdleTimeout:       settings.Seconds(l.limits.IdleTimeoutSeconds),
		MaxHeaderBytes:    l.limits.MaxHeaderBytes,
	}
}

// serve starts the servers and returns a channel that gets the error of the
// first one that fails.
func (l *listeners) serve() <-chan error {
	failed := make(chan error, 3)
	go func() { failed <- l.callerServer.Serve(l.callers) }()
	go func() { failed <- l.peerServer.Serve(l.peers) }()
	go func() { failed <- l.operatorServer.Serve(l.operators) }()
	return failed
}

// drain stops the servers. Callers come first: running answers still need the
// peers, and operators can watch until the end.
func (l *listeners) drain(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := l.callerServer.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, l.callerServer.Close())
	}
	// Heartbeat connections of peers stay open, so their listener is closed
	// without waiting.
	return errors.Join(err, l.peerServer.Close(), l.operatorServer.Shutdown(ctx))
}

// close closes the listeners without waiting for anything.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
