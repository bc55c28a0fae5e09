package upstream

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// setSmallBuffer sets the receive buffer of a socket to the minimum of the kernel.
func setSmallBuffer(raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1)
	})
	return errors.Join(controlErr, err)
}
