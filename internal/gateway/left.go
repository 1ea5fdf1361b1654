package gateway

import (
	"context"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerLeft reports whether the caller of a request has closed its connection.
// net/http tells by the request's context, but from a goroutine of its own that
// may not have had a turn where the processor is short.
func callerLeft(ctx context.Context) bool {
	framed, ok := ctx.Value(connContextKey).(*framedConn)
	if !ok {
		return false
	}
	raw, ok := framed.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true // the connection is closed on this side
	}
	left := false
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = n == 0 && err == nil
	})
	return left || err != nil
}
