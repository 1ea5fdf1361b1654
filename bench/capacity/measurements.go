package main

// measurements lists all slopes in the order of the page.
var measurements = []measurement{
	{"configuration in force, memory", measurePerAccount},
	{"placing one reservation, bytes both ways", measureReserve},
	{"a claim that finds the request gone, bytes both ways", measureClaim},
	{"fair order, processor time", measureDecision},
	{"one report to the ledger, bytes both ways", measureReport},
	{"ledger, sent by a process on average", measureLedgerProcesses},
	{"ledger, sent by the process that sends most", measureLedgerMost},
	{"ledger, sent by one of 400 processes", measureLedgerAccounts},
}
