package main

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections between a node and the store. It can make open connections silent:
// they stay open and carry nothing more.
type proxy struct {
	address string
	target  string

	mu    sync.Mutex
	conns map[*proxiedConn]bool
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	silent atomic.Bool
	// watching is set while a watch waits on the connection.
	watching atomic.Bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, conns: map[*proxiedConn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *proxy) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	c := &proxiedConn{}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	go func() {
		c.copy(client, server, func([]byte) { c.watching.Store(false) })
		if !c.silent.Load() {
			_ = client.Close()
		}
	}()
	c.copy(server, client, func(b []byte) {
		if bytes.HasPrefix(b, []byte("GET /-/kv-watch")) {
			c.watching.Store(true)
		}
	})
}

// copy forwards what it reads, or drops it while the connection is silent.
func (c *proxiedConn) copy(to, from net.Conn, see func([]byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if c.silent.Load() {
			continue
		}
		see(buffer[:n])
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// silence makes the connections silent on which a watch waits, or all open ones.
func (p *proxy) silence(all bool) (silenced, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		open++
		if all || c.watching.Load() {
			c.silent.Store(true)
			silenced++
		}
	}
	return silenced, open
}
