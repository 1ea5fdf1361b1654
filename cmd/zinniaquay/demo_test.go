package main

import (
	"bufio"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestDemoDrainsOnSIGTERM runs the command as a user does, with the signal that
// a host sends.
func TestDemoDrainsOnSIGTERM(t *testing.T) {
	is := is.New(t)
	read, write := io.Pipe()
	ended := make(chan int, 1)
	go func() {
		args := []string{"demo", "--caller-addr", "127.0.0.1:0", "--operator-addr", "127.0.0.1:0"}
		code := run(args, write, io.Discard)
		_ = write.Close() // a pipe's writer always closes
		ended <- code
	}()
	lines := bufio.NewScanner(read)
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "Other keys") {
	}
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	last := ""
	for lines.Scan() {
		last = lines.Text()
	}
	is.Equal(last, "drained")
	is.Equal(<-ended, exitOK)
}
