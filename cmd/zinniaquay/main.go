// Command zinniaquay is the one binary of the fleet: router, sidecar, the
// operators' client and an embedded demonstration.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
