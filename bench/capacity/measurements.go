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
	{"request of one token, processor of router and sidecar", perRequest.measure},
	{"relayed token, processor of router and sidecar", perToken.measure},
	{"running stream, memory of router and sidecar", perStream.measure},
	{"waiting request, memory of router", perWaiting.measure},
	{"idle sidecar, processor", controlSlope("share of a core", func(c control) float64 { return c.core })},
	{"idle sidecar, bytes read and written", controlSlope("bytes a second", func(c control) float64 { return c.bytesPerSecond })},
	{"idle sidecar, resident memory", controlSlope("bytes", func(c control) float64 { return c.resident })},
	{"idle router, processor", controlSlope("share of a core", func(c control) float64 { return c.routerCore })},
	{"idle router, bytes read and written", controlSlope("bytes a second", func(c control) float64 { return c.routerBytes })},
	{"idle router, resident memory", controlSlope("bytes", func(c control) float64 { return c.routerResident })},
}
