// Package tcpproxy passes TCP connections on and disturbs them, for tests of what a
// process does when connections are delayed, reset or silent.
package tcpproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a proxy treats the connections through it.
type Mode int32

// The modes.
const (
	Pass Mode = iota
	// Delay holds each piece up for a while.
	Delay
	// Reset resets connections, open and new ones.
	Reset
	// Silent passes nothing on, in both directions.
	Silent
	// DeafUp passes nothing on to the server, DeafDown nothing to the client.
	DeafUp
	DeafDown
	// Modes is their number.
	Modes
)

// proxyDelay is the time for which Delay holds a piece up.
const proxyDelay = 150 * time.Millisecond

// Proxy passes TCP connections on to one address.
type Proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu   sync.Mutex
	open map[net.Conn]bool
	// silenced is set for the connections that are open when SilenceOpen is
	// called, and replaced then.
	silenced *atomic.Bool
}

// New starts a proxy on a loopback address.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, open: make(map[net.Conn]bool), silenced: new(atomic.Bool)}
	go p.accept()
	return p, nil
}

// Address is that on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode.
func (p *Proxy) Set(m Mode) {
	p.mode.Store(int32(m))
	if m == Reset {
		p.resetAll()
	}
}

// SilenceOpen passes nothing more on over the connections that are open. New ones
// work.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silenced.Store(true)
	p.silenced = new(atomic.Bool)
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		reset(c)
	}
	clear(p.open)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	if Mode(p.mode.Load()) == Reset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.open[client], p.open[server] = true, true
	silenced := p.silenced
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(server, client, DeafUp, silenced) })
	wait.Go(func() { p.copy(client, server, DeafDown, silenced) })
	wait.Wait()
	p.mu.Lock()
	delete(p.open, client)
	delete(p.open, server)
	p.mu.Unlock()
	_, _ = client.Close(), server.Close()
}

// copy passes one direction on until it ends. Bytes that arrive while the
// direction is deaf are lost, like those of a connection that has fallen silent.
func (p *Proxy) copy(to, from net.Conn, deaf Mode, silenced *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		mode := Mode(p.mode.Load())
		if mode == Delay {
			time.Sleep(proxyDelay)
		}
		if n > 0 && mode != Silent && mode != deaf && !silenced.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}
