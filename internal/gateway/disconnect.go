package gateway

import (
	"context"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerDisconnected reports whether the caller of a request has closed its
// connection. net/http also cancels the request's context, but from a separate
// goroutine that may not have run yet when processor time is short.
func callerDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connContextKey).(*callerConn)
	if !ok {
		return false
	}
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true // the connection is closed on this side
	}
	disconnected := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		disconnected = n == 0 && err == nil
	})
	return disconnected || err != nil
}
