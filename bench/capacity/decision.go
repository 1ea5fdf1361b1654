package main

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/fairness"
)

const (
	// designAllAccounts bounds the accounts that wait at one sidecar.
	designAllAccounts = designAccounts
	// startsMeasured is the number of starts that one point is the mean of.
	startsMeasured = 2000
	// tokensMeasured is the number of tokens charged for each start.
	tokensMeasured = 100
)

// measureDecision measures the processor time of the fair order for one start:
// the choice, the charge at the start, 100 tokens and the end.
func measureDecision(context.Context) (slope, error) {
	s := slope{unit: "microseconds a start", per: "waiting accounts", claim: designAllAccounts}
	for range runs {
		for _, n := range []int{10, 100, 620, 2000, designAllAccounts} {
			s.points = append(s.points, point{float64(n), decisionTime(n).Seconds() * 1e6})
		}
	}
	return s, nil
}

// decisionTime returns the time of one start with n accounts waiting.
func decisionTime(n int) time.Duration {
	c := fairness.New(func(string) float64 { return 1 })
	for i := range n {
		a := fmt.Sprintf("account-%05d", i)
		c.Merge(a, fairness.FleetTotal{Others: float64(i % 97), Reporters: 4})
		c.AddWaiting(a)
	}
	begin := time.Now()
	for range startsMeasured {
		a, _ := c.Next()
		c.RemoveWaiting(a)
		charge := c.Start(a, 0)
		c.AddWaiting(a)
		for range tokensMeasured {
			charge.Add(1)
		}
		charge.Settle()
	}
	return time.Since(begin) / startsMeasured
}
