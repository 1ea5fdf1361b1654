package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/gateway"
	"github.com/zinniaquay/zinniaquay/platform"
	"github.com/zinniaquay/zinniaquay/platform/standin"
)

// platformDemo names the deployment that is a gateway on the users' platform.
const platformDemo = "platform"

// Figures of the demo.
const (
	demoGrace  = 3 * time.Second
	demoMemory = 128 << 20
)

// runPlatformDemo runs a gateway before stand-ins of the platform's store and of
// its targets until the context ends.
func runPlatformDemo(ctx context.Context, callerAddr string, out io.Writer, log logr.Logger) (err error) {
	d, err := standin.Start()
	if err != nil {
		return fmt.Errorf("start stand-ins: %w", err)
	}
	defer func() { err = errors.Join(err, d.Close(ctx)) }()
	s := gateway.Settings{
		Name: "edge-1", Zone: "a", CallerAddr: callerAddr, ReadyPath: platform.ReadyPath, StoreAddr: d.StoreAddr,
		MemoryBytes: demoMemory,
		Bounds: gateway.Bounds{
			GracePeriod: demoGrace, MaxRevocationDelay: 5 * time.Second, MaxApplyDelay: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 50,
			ExposureFraction: 0.1, ColdOverage: 1.5, ColdTolerance: 5, ShareWindow: 4 * time.Second,
		},
	}
	for _, addr := range []*string{&s.ReadyAddr, &s.PeerAddr, &s.MetricsAddr} {
		if *addr, err = freeLoopback(); err != nil {
			return err
		}
	}
	if _, err := io.WriteString(out, standin.Help(callerAddr, s.MetricsAddr)); err != nil {
		return err
	}
	return gateway.NewProcess(s, platform.NewStore(d.StoreAddr), platform.Documents{}, platform.Headers{},
		metrics.NewRegistry(), log).Run(ctx)
}

// freeLoopback returns a loopback address that is free at present.
func freeLoopback() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	return l.Addr().String(), l.Close()
}
