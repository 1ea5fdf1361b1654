package main

import (
	"testing"

	"github.com/matryer/is"
)

// controlBytes is what a process may send a second for control.
const controlBytes = 4096

// TestLedgerAtTheSizeToDesignFor counts the bytes of the ledger at the whole
// size. The rest of the limit is for reservations, claims and membership.
func TestLedgerAtTheSizeToDesignFor(t *testing.T) {
	is := is.New(t)
	f := newLedgerFleet(designProcesses)
	mean, most := f.play(designBacklogged)
	t.Logf("a process sends %.0f bytes a second on average, the busiest %.0f; holders ask for a report every %v at most", mean, most, f.longestPace)
	is.True(mean <= controlBytes/2)
	is.True(most <= controlBytes)
}

// TestLedgerOfAnAccountServedEverywhere counts the bytes where one account is
// backlogged at all sidecars. The limit holds; what gives is the age of its
// total, which the log states.
func TestLedgerOfAnAccountServedEverywhere(t *testing.T) {
	is := is.New(t)
	f := newLedgerFleet(designProcesses)
	f.hot = true
	mean, most := f.play(designBacklogged)
	t.Logf("a process sends %.0f bytes a second on average, the busiest %.0f; that one's holder asks for a report every %v", mean, most, f.longestPace)
	is.True(most <= controlBytes)
}

// TestWireSizeOfReports holds the sizes that the count of bytes assumes against
// those on the wire.
func TestWireSizeOfReports(t *testing.T) {
	is := is.New(t)
	s, err := measureReport(t.Context())
	is.NoErr(err)
	fixed, _ := s.fit()
	t.Logf("a report takes %.0f bytes both ways beside its accounts", fixed)
	is.True(fixed <= 2*callBytes+60) // names and incarnations take 60
}
