package upstream

import (
	"errors"
	"syscall"
)

// reusable reports whether an idle connection is open and has no unread bytes.
// Bytes that arrive on an idle connection are not part of the next response.
func (c *Conn) reusable() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && noData
}
