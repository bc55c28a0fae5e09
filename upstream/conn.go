package upstream

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"
)

// readBufferBytes holds the head of an answer and a few events of a stream.
const readBufferBytes = 4096

// maxHeadBytes bounds the head of an answer, with the interim answers before it.
const maxHeadBytes = 64 << 10

// conn is one connection to a backend server. One exchange uses it at a time.
type conn struct {
	net.Conn
	address string
	// reader reads through head.
	reader    *bufio.Reader
	head      *headReader
	idleUntil time.Time
	used      bool
}

func newConn(nc net.Conn, address string) *conn {
	head := &headReader{source: nc}
	return &conn{Conn: nc, address: address, reader: bufio.NewReaderSize(head, readBufferBytes), head: head}
}

// headReader reads from a connection, and bounds what is read while a head is.
type headReader struct {
	source  io.Reader
	reading bool
	// left is what may still be read of the head.
	left int
}

// begin expects a head, and end what follows it.
func (h *headReader) begin() { h.reading, h.left = true, maxHeadBytes }
func (h *headReader) end()   { h.reading = false }

// Read implements io.Reader. It returns ErrLargeHead past the bound.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.reading {
		return h.source.Read(p)
	}
	if h.left == 0 {
		return 0, ErrLargeHead
	}
	n, err := h.source.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

func (c *conn) close() { _ = c.Conn.Close() }

// quiet reports whether an idle connection is open and nothing has arrived on
// it. Bytes on an idle connection belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
