// Package upstream sends HTTP/1.1 requests to backend servers. Every request is
// written to exactly one connection: the package repeats nothing by itself, and
// its errors say whether the backend server can have received the request.
package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the settings of a Pool.
type Options struct {
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// UserTimeout is how long written bytes may stay unacknowledged before the
	// kernel gives the connection up (TCP_USER_TIMEOUT), and how long an idle
	// peer may leave keep-alive probes unanswered.
	UserTimeout time.Duration
	// IdleTimeout is how long a connection is kept where the backend server
	// does not say how long it keeps it.
	IdleTimeout time.Duration
	// IdleMargin is how much earlier than the backend server the pool gives an
	// idle connection up.
	IdleMargin time.Duration
	// MaxIdlePerServer bounds the idle connections to one address.
	MaxIdlePerServer int
}

// DefaultOptions fit backend servers that are a few milliseconds away.
var DefaultOptions = Options{
	DialTimeout:      400 * time.Millisecond,
	UserTimeout:      3 * time.Second,
	IdleTimeout:      3 * time.Second,
	IdleMargin:       500 * time.Millisecond,
	MaxIdlePerServer: 32,
}

// Stats counts what a pool did.
type Stats struct {
	Dials        uint64
	DialFailures uint64
	Reused       uint64
	// Discarded counts idle connections that were found closed, or on which
	// bytes had arrived that belong to no request.
	Discarded uint64
}

// Pool keeps idle connections to backend servers.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu    sync.Mutex
	idle  map[string][]*conn
	stats Stats
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	p := &Pool{options: o, idle: make(map[string][]*conn)}
	p.dialer = NewDialer(o.DialTimeout, o.UserTimeout)
	return p
}

// NewDialer returns a dialer whose connections fail after userTimeout when the
// other side falls silent, also while they are idle.
func NewDialer(dialTimeout, userTimeout time.Duration) net.Dialer {
	const probes = 3
	return net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: userTimeout / probes, Interval: userTimeout / probes, Count: probes - 1,
		},
		Control: UserTimeout(userTimeout),
	}
}

// UserTimeout returns a Control function, for dialers and listeners, that bounds
// how long written bytes may stay unacknowledged.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(controlErr, err)
	}
}

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// get returns an idle connection that is still usable, or dials. An error means
// that there is no connection, so nothing was sent.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	if c := p.takeIdle(address); c != nil {
		return c, nil
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	p.mu.Lock()
	p.stats.Dials++
	if err != nil {
		p.stats.DialFailures++
	}
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return newConn(nc, address), nil
}

func (p *Pool) takeIdle(address string) *conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		usable := time.Now().Before(c.idleUntil) && c.quiet()
		p.mu.Lock()
		if usable {
			p.stats.Reused++
		} else {
			p.stats.Discarded++
		}
		p.mu.Unlock()
		if usable {
			return c
		}
		c.close()
	}
}

// popIdle takes the connection that was used last: the others age out.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection whose exchange is complete on both sides.
func (p *Pool) put(c *conn, keep time.Duration) {
	if keep <= 0 {
		c.close()
		return
	}
	c.idleUntil = time.Now().Add(keep)
	p.mu.Lock()
	list := p.idle[c.address]
	if len(list) >= p.options.MaxIdlePerServer {
		p.mu.Unlock()
		c.close()
		return
	}
	p.idle[c.address] = append(list, c)
	p.mu.Unlock()
}

// Sweep closes idle connections that have passed their time. Call it about
// once a second.
func (p *Pool) Sweep() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// Forget closes the idle connections to an address, for example because another
// backend server has it now.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}
