package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/figweir/figweir/tcpstate"
)

// readBufferSize is large enough for the header of a response and a few events of a stream.
const readBufferSize = 4096

// maxHeaderBytes is the maximum size of a response header, including the interim (1xx)
// responses before it.
const maxHeaderBytes = 64 << 10

// conn is a connection to a backend server. It carries one exchange at a time.
type conn struct {
	net.Conn
	address string
	// reader buffers data that it reads through header.
	reader        *bufio.Reader
	header        *headerReader
	establishedAt time.Time
	// idleUntil is when the connection expires if it stays idle.
	idleUntil time.Time
	// reused is set if the connection has carried an earlier exchange.
	reused bool
	// aborted is set once abort was called.
	aborted atomic.Bool
}

func newConn(nc net.Conn, address string) *conn {
	c := &conn{Conn: nc, address: address, establishedAt: time.Now(), header: &headerReader{}}
	c.header.source = c
	c.reader = bufio.NewReaderSize(c.header, readBufferSize)
	return c
}

var errGivenUp = errors.New("the exchange was given up")

// Read implements net.Conn. What arrives after abort is discarded: a server that has been told of
// the end may end its response in an orderly way, and it would look complete.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.aborted.Load() {
		return 0, errGivenUp
	}
	return n, err
}

// headerReader reads from a connection and limits the size of a header.
type headerReader struct {
	source   io.Reader
	inHeader bool
	// remaining is the number of bytes that may still be read of the header.
	remaining int
}

// beginHeader applies the limit to the following bytes, endHeader removes it.
func (h *headerReader) beginHeader() { h.inHeader, h.remaining = true, maxHeaderBytes }
func (h *headerReader) endHeader()   { h.inHeader = false }

// Read implements io.Reader. It returns ErrHeaderTooLarge at the limit.
func (h *headerReader) Read(p []byte) (int, error) {
	if !h.inHeader {
		return h.source.Read(p)
	}
	if h.remaining == 0 {
		return 0, ErrHeaderTooLarge
	}
	n, err := h.source.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}

// unacknowledged returns the number of written bytes that the server has not acknowledged, or -1
// if the kernel doesn't tell.
func (c *conn) unacknowledged() int {
	n, err := tcpstate.Unacknowledged(c.Conn)
	if err != nil {
		return -1
	}
	return n
}

// abort ends the connection of an exchange that was given up. It may be called more than once,
// from any goroutine. While the server has not acknowledged the complete request, a reset discards
// the rest of it: after an orderly close the kernel would deliver it, however late. Otherwise the
// end is first told in an orderly way, because the kernel repeats that until it has arrived and a
// reset may be lost. The reset follows: a server that doesn't read, or that takes a closed sending
// side for the end of a request, learns of the end only from a write that fails.
func (c *conn) abort(unacknowledged int) {
	if !c.aborted.CompareAndSwap(false, true) {
		return
	}
	if unacknowledged > 0 {
		c.reset()
		return
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		c.close()
		return
	}
	// Whoever reads or writes now fails at once.
	_ = tcp.SetDeadline(time.Unix(1, 0))
	if tcp.CloseWrite() != nil {
		c.close()
		return
	}
	c.resetOnceAcknowledged(firstResetDelay)
}

const (
	// firstResetDelay is the time from the orderly end to the first look whether it has arrived;
	// the delay doubles with each further one.
	firstResetDelay = 2 * time.Millisecond
	// maxResetDelay is the longest such delay. Longer ones are left to the kernel.
	maxResetDelay = 512 * time.Millisecond
)

// resetOnceAcknowledged resets the connection after a delay if the server has acknowledged its
// orderly end, and otherwise tries again later.
func (c *conn) resetOnceAcknowledged(delay time.Duration) {
	time.AfterFunc(delay, func() {
		switch n := c.unacknowledged(); {
		case n == 0:
			c.reset()
		case n < 0 || delay >= maxResetDelay:
			c.close()
		default:
			c.resetOnceAcknowledged(2 * delay)
		}
	})
}

// reset closes the connection and makes all further writes of the server fail.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.close()
}

func (c *conn) close() { _ = c.Conn.Close() }

// isReusable reports whether an idle connection is still open and has no unread data:
// data on an idle connection belongs to no request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}
