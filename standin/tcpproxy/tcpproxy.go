// Package tcpproxy implements a TCP proxy that injects faults, for tests of how a
// process handles connections that are delayed, reset or black-holed.
package tcpproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figweir/figweir/tcpstate"
)

// Mode selects the fault that a proxy injects.
type Mode int32

// Faults that a proxy can inject.
const (
	// Forward injects no fault.
	Forward Mode = iota
	// Delay forwards each chunk of data with a delay of 150 ms.
	Delay
	// Reset resets all open connections and each new one.
	Reset
	// Blackhole discards the data in both directions without closing connections.
	Blackhole
	// BlackholeToServer discards the data that the client sends to the server.
	BlackholeToServer
	// BlackholeToClient discards the data that the server sends to the client.
	BlackholeToClient
	// ModeCount is the number of modes.
	ModeCount
)

// chunkDelay is the delay of each chunk of data in mode Delay.
const chunkDelay = 150 * time.Millisecond

// Proxy forwards TCP connections to one address. It is safe for concurrent use.
type Proxy struct {
	address string
	target  string
	mode    atomic.Int32

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener  net.Listener
	closed    bool
	openConns map[net.Conn]bool
	// blackholed is a flag that the connections share that were opened since it
	// was created. Setting it discards all their data; it is then replaced with
	// a new flag for later connections.
	blackholed *atomic.Bool
}

// New starts a proxy that accepts connections on the address listen and forwards
// them to target.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: l.Addr().String(), listener: l, target: target, openConns: make(map[net.Conn]bool), blackholed: new(atomic.Bool)}
	go p.acceptLoop(l)
	return p, nil
}

// Address returns the address on which the proxy accepts connections.
func (p *Proxy) Address() string { return p.address }

// Refuse closes all connections and refuses new ones, like a process that has ended.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for c := range p.openConns {
		_ = c.Close()
	}
	clear(p.openConns)
}

// Accept accepts connections again after Refuse. It returns an error if it can't listen.
func (p *Proxy) Accept() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = l
	go p.acceptLoop(l)
	return nil
}

// SetMode changes the mode. It affects open connections as well as new ones.
func (p *Proxy) SetMode(m Mode) {
	p.mode.Store(int32(m))
	if m == Reset {
		p.resetAll()
	}
}

// BlackholeOpen discards all further data of the connections that are open now. New
// connections are not affected.
func (p *Proxy) BlackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed.Store(true)
	p.blackholed = new(atomic.Bool)
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.mu.Unlock()
	p.resetAll()
}

// resetAll resets all open connections.
func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.openConns {
		reset(c)
	}
	clear(p.openConns)
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) acceptLoop(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve forwards one connection in both directions until both have ended.
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
	p.openConns[client], p.openConns[server] = true, true
	blackholed := p.blackholed
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() {
		p.copy(server, client, BlackholeToServer, blackholed)
		go p.forwardReset(server, client)
	})
	directions.Go(func() { p.copy(client, server, BlackholeToClient, blackholed) })
	directions.Wait()
	p.mu.Lock()
	delete(p.openConns, client)
	delete(p.openConns, server)
	p.mu.Unlock()
	_, _ = client.Close(), server.Close()
}

// resetCheckInterval is the time between two looks whether an ended connection was reset.
const resetCheckInterval = 5 * time.Millisecond

// forwardReset resets a connection when the client's side of it, which has ended in an orderly way,
// is reset. It returns when the connection is closed.
func (p *Proxy) forwardReset(to, from net.Conn) {
	for range time.Tick(resetCheckInterval) {
		wasReset, err := tcpstate.WasReset(from)
		if err != nil {
			return
		}
		if mode := Mode(p.mode.Load()); wasReset && mode != Blackhole && mode != BlackholeToServer {
			reset(to)
			return
		}
	}
}

// copy forwards the data of one direction until the connection ends. It discards the
// data that arrives in discardMode, in the mode that discards both directions, or
// while blackholed is set.
func (p *Proxy) copy(to, from net.Conn, discardMode Mode, blackholed *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		mode := Mode(p.mode.Load())
		if mode == Delay {
			time.Sleep(chunkDelay)
		}
		if n > 0 && mode != Blackhole && mode != discardMode && !blackholed.Load() {
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
