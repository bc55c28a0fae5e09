package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBufferBytes holds the head of an answer and a few events of a stream.
const readBufferBytes = 4096

// conn is one connection to a backend server. One exchange uses it at a time.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	idleUntil time.Time
	used      bool
}

func newConn(nc net.Conn, address string) *conn {
	return &conn{Conn: nc, address: address, reader: bufio.NewReaderSize(nc, readBufferBytes)}
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
