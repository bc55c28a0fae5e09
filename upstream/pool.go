// Package upstream sends HTTP/1.1 requests to backend servers. Each request is written
// to exactly one connection. The package never retries, and its errors state whether the
// backend server can have received the request.
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
	// DialTimeout is the timeout for establishing a connection.
	DialTimeout time.Duration
	// UserTimeout is how long written data may stay unacknowledged before the kernel
	// closes the connection (TCP_USER_TIMEOUT), and how long an idle peer may leave
	// keep-alive probes unanswered.
	UserTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept unless the backend server
	// states its own timeout in a Keep-Alive header.
	IdleTimeout time.Duration
	// IdleMargin is how much earlier than the stated timeout of the backend server
	// the pool closes an idle connection.
	IdleMargin time.Duration
	// MaxIdlePerServer is the maximum number of idle connections per address.
	MaxIdlePerServer int
}

// DefaultOptions suit backend servers at a latency of a few milliseconds.
var DefaultOptions = Options{
	DialTimeout:      400 * time.Millisecond,
	UserTimeout:      3 * time.Second,
	IdleTimeout:      3 * time.Second,
	IdleMargin:       500 * time.Millisecond,
	MaxIdlePerServer: 32,
}

// Stats are cumulative counts of a pool.
type Stats struct {
	Dials        uint64
	DialFailures uint64
	Reused       uint64
	// Discarded counts idle connections that were expired, closed by the peer, or had
	// unexpected data.
	Discarded uint64
}

// Pool keeps idle connections to backend servers.
type Pool struct {
	options Options
	dialer  net.Dialer
	// pauses reports pauses of the process; nil if they are not known.
	pauses Pauses

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

// SetPauses lets the pool treat the end of a response as unproven if it was read after a pause of the
// process. It must be called before the pool is used.
func (p *Pool) SetPauses(pauses Pauses) { p.pauses = pauses }

// NewDialer returns a dialer whose connections fail within userTimeout, even while idle,
// if the peer stops responding.
func NewDialer(dialTimeout, userTimeout time.Duration) net.Dialer {
	const probes = 3
	return net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: userTimeout / probes, Interval: userTimeout / probes, Count: probes - 1,
		},
		Control: TCPUserTimeout(userTimeout),
	}
}

// TCPUserTimeout returns a Control function for dialers and listeners that sets how long
// written data may stay unacknowledged (TCP_USER_TIMEOUT).
func TCPUserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
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

// getConn returns a reusable idle connection or dials a new one. After an error nothing
// has been sent.
func (p *Pool) getConn(ctx context.Context, r *Request) (*conn, error) {
	if !r.NewConnection {
		if c := p.getIdle(r.Address); c != nil {
			return c, nil
		}
	}
	return p.dial(ctx, r.Address)
}

// dial establishes a new connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
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

// Refuses reports whether a server refuses a new connection now, as it does when its process
// has ended. It returns false if the server can't be reached: that shows nothing about the
// process. A connection that the server accepts is kept for later requests.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.putIdle(c, p.options.IdleTimeout)
	return false
}

// getIdle returns a reusable idle connection and closes those that are not; nil if there is
// none.
func (p *Pool) getIdle(address string) *conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		usable := time.Now().Before(c.idleUntil) && c.isReusable()
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

// popIdle removes and returns the most recently used idle connection, so that the others
// expire.
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

// putIdle returns a connection to the pool after a complete exchange.
func (p *Pool) putIdle(c *conn, keepIdle time.Duration) {
	if keepIdle <= 0 {
		c.close()
		return
	}
	c.idleUntil = time.Now().Add(keepIdle)
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

// putBack returns a connection to the pool on which nothing was sent.
func (p *Pool) putBack(c *conn) {
	keepIdle := p.options.IdleTimeout
	if !c.idleUntil.IsZero() {
		keepIdle = time.Until(c.idleUntil)
	}
	p.putIdle(c, keepIdle)
}

// Sweep closes idle connections that have expired. Call it about once a second.
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

// CloseIdle closes the idle connections to an address, for example because they no longer
// respond or another backend server has the address now.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}
