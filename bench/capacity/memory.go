package main

import (
	"context"
	"fmt"
	"runtime"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/configstore"
)

// Sizes to design for.
const (
	designAccounts   = 6200
	designBacklogged = 620
	designRouters    = 370
	designSidecars   = 600
	designProcesses  = designRouters + designSidecars
)

// heapOf returns the bytes of heap that what build returns keeps alive.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// measurePerAccount measures the memory of the configuration in force.
func measurePerAccount(context.Context) (slope, error) {
	s := slope{unit: "bytes", per: "client accounts", claim: designAccounts}
	for range runs {
		for _, n := range []int{100, 1000, designAccounts} {
			s.points = append(s.points, point{float64(n), heapOf(func() any {
				return configstore.NewSnapshot(configuration(n, designSidecars))
			})})
		}
	}
	return s, nil
}

// configuration returns one with the given numbers of accounts and targets.
func configuration(accounts, targets int) *zinniaquayv1.Configuration {
	doc := &zinniaquayv1.Configuration{
		Number:   1,
		Accounts: make(map[string]*zinniaquayv1.ClientAccount),
		Zones:    map[string]*zinniaquayv1.AvailabilityZone{"zone-a": {Region: "west"}},
		Services: map[string]*zinniaquayv1.Service{"model-00": {Version: "v1"}},
		Targets:  make(map[string]*zinniaquayv1.Target),
	}
	for i := range accounts {
		doc.Accounts[fmt.Sprintf("account-%05d", i)] = &zinniaquayv1.ClientAccount{
			Weight:    1,
			KeySha256: []string{fmt.Sprintf("%064x", i)},
		}
	}
	for i := range targets {
		doc.Targets[fmt.Sprintf("target-%04d", i)] = &zinniaquayv1.Target{
			Service:     "model-00",
			Version:     "v1",
			Zone:        "zone-a",
			SidecarAddr: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
		}
	}
	return doc
}
