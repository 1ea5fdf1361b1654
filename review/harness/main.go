// Command harness plays the cases of this review that are scripts: it stands in for the
// platform, its workers and its clients on loopback, and runs the gateways as processes.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// play is a case. trouble is false for the run without the disruption.
type play func(f *fleet, trouble bool) error

var plays = map[string]play{"memory": playMemory, "crashes": playCrashes, "revoke": playRevoke}

func main() {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE DIR BINARY")
		os.Exit(2)
	}
	switch err := run(plays[os.Args[1]], os.Args[2], os.Args[3]); {
	case errors.Is(err, errBroken):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
}

func run(p play, dir, binary string) (err error) {
	r, err := newRecord(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.close()) }()
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(temp) }() // what is left is in the system's temporary folder
	f, err := newFleet(temp, binary, r)
	if err != nil {
		return err
	}
	defer f.close()
	return p(f, os.Getenv("TROUBLE") != "0")
}
