// Package tcpstate asks the kernel about the state of TCP connections without reading from
// them: whether the peer has closed its side, how long received data has been waiting, and how
// much written data the peer has not acknowledged. The calls never block, and they don't wait
// for a read or write of another goroutine.
package tcpstate

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUnsupported means that a connection gives no access to its socket.
var ErrUnsupported = errors.New("tcpstate: the connection has no socket")

// control calls f with the file descriptor of a connection.
func control(c net.Conn, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return err
	}
	return callErr
}

// PeerClosed reports whether the peer has closed or reset the connection, or its sending side
// only, also if unread data lies before the close.
func PeerClosed(c net.Conn) (closed bool, err error) {
	err = control(c, func(fd int) error {
		closed, err = peerClosed(fd)
		return err
	})
	return closed, err
}

func peerClosed(fd int) (bool, error) {
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(events, 0)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return false, err
		}
		break
	}
	if events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
		return true, nil
	}
	if events[0].Revents&unix.POLLIN == 0 {
		return false, nil
	}
	// Readable without data means that the stream has ended.
	var buf [1]byte
	n, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err == unix.EAGAIN || err == unix.EINTR {
		return false, nil
	}
	return n <= 0, nil
}

// WasReset reports whether the connection has ended with an error, as after a reset by the peer.
func WasReset(c net.Conn) (wasReset bool, err error) {
	err = control(c, func(fd int) error {
		events := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(events, 0)
		wasReset = events[0].Revents&unix.POLLERR != 0
		if err == unix.EINTR {
			return nil
		}
		return err
	})
	return wasReset, err
}

// SinceLastData returns how long ago the kernel received data on the connection, with a
// resolution of some milliseconds.
func SinceLastData(c net.Conn) (time.Duration, error) {
	var age time.Duration
	err := control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
		return err
	})
	return age, err
}

// Unacknowledged returns the number of written bytes that the peer has not acknowledged.
func Unacknowledged(c net.Conn) (bytes int, err error) {
	err = control(c, func(fd int) error {
		bytes, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return bytes, err
}
