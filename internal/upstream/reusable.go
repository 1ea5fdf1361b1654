package upstream

import (
	"errors"
	"syscall"
)

// reusable reports whether an idle connection is open and has no unread bytes.
// Bytes that arrive without a request belong to none.
func (c *Conn) reusable() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && noData
}
