package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/figweir/figweir/inbound"
	"github.com/figweir/figweir/membudget"
	"github.com/figweir/figweir/settings"
	"github.com/figweir/figweir/tcpstate"
)

// peerStreams is how many calls of one connection of a peer run at the same time. Claims come from all
// requests of a peer at once, and net/http begins up to 100 calls on a new connection.
const peerStreams = 100

// listeners holds the three listeners of a node and their servers.
type listeners struct {
	callers, peers, operators net.Listener
	// callerConns are the connections of callers.
	callerConns *tcpstate.Listener
	limits      settings.Limits
	// refuseUnsound returns the refusal of requests whose framing is not sound.
	refuseUnsound func(listener string) inbound.Refusal

	callerServer, peerServer, operatorServer *http.Server
}

// openListeners opens the listeners, whose connections count in the account. It returns an error that
// names the address if one can't be opened.
func openListeners(s settings.Settings, account *membudget.Inbound, refuseUnsound func(listener string) inbound.Refusal) (*listeners, error) {
	l := &listeners{limits: s.Limits, refuseUnsound: refuseUnsound}
	for _, entry := range []struct {
		address, name string
		protocol      inbound.Protocol
		to            *net.Listener
	}{
		{s.Listen.Callers, "callers", inbound.HTTP1, &l.callers},
		{s.Listen.Peers, "peers", inbound.HTTP2(peerStreams), &l.peers},
		{s.Listen.Operators, "operators", inbound.HTTP1, &l.operators},
	} {
		listener, err := net.Listen("tcp", entry.address)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("listen on %s: %w", entry.address, err)
		}
		if entry.to == &l.callers {
			l.callerConns = tcpstate.NewListener(listener)
			listener = l.callerConns
		}
		*entry.to = inbound.NewListener(listener, account, entry.name, entry.protocol)
	}
	return l, nil
}

// setHandlers creates the servers with their handlers.
func (l *listeners) setHandlers(callers, peers, operators http.Handler) {
	l.callerServer = l.newServer("callers", callers, inbound.HTTP1)
	l.callerServer.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return inbound.ConnContext(l.callerConns.ConnContext(ctx, c), c)
	}
	l.peerServer = l.newServer("peers", peers, inbound.HTTP2(peerStreams))
	l.operatorServer = l.newServer("operators", operators, inbound.HTTP1)
}

// newServer returns the server of a listener, with the limits of all of them.
func (l *listeners) newServer(name string, handler http.Handler, protocol inbound.Protocol) *http.Server {
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: settings.SecondsToDuration(l.limits.HeaderTimeoutSeconds),
		IdleTimeout:       settings.SecondsToDuration(l.limits.IdleTimeoutSeconds),
		MaxHeaderBytes:    l.limits.MaxHeaderBytes,
	}
	inbound.Attach(s, protocol, l.refuseUnsound(name))
	return s
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
