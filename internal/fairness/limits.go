package fairness

// Limits holds the quantities from which the fairness bound is computed.
type Limits struct {
	// Targets is the number of targets that both accounts wait for.
	Targets int
	// Running is the maximum number of requests that run at one target.
	Running int
	// Cost is the largest service of one request, in tokens or units.
	Cost float64
	// Batch is the maximum service, in tokens, that an engine gives one request
	// before it reports to the sidecar.
	Batch float64
	// Rate is the service that one target delivers per second.
	Rate float64
	// Age is the maximum staleness of the counters in seconds: the time from the
	// delivery of a token until every process that schedules the account has
	// counted it.
	Age float64
}

// Gap returns the bound on the difference in virtual service that two accounts
// receive over any period in which both have requests waiting for the same
// targets. The weights must be at least 1, and Targets must include every target
// that serves either account:
//
//	work in flight     Targets * Running * Cost
//	+ engine batch     Targets * Running * Batch
//	+ stale counters   Targets * Rate * Age
func (l Limits) Gap() float64 {
	slots := float64(l.Targets * l.Running)
	return slots*(l.Cost+l.Batch) + float64(l.Targets)*l.Rate*l.Age
}

// creditFactor is the factor of Credit for the work that all request slots hold at
// the mean cost of a request. A smaller factor takes service from accounts that
// were never idle; the design note has the figures.
const creditFactor = 4

// Credit returns the virtual service by which an account may trail the most
// served waiting account: a multiple of the work that all request slots hold at
// the mean cost of a request, plus the service that stale counters don't include
// yet. rate is the service that all targets together deliver per second, and
// maxAge is Limits.Age.
func Credit(slots int, meanCost, rate, maxAge float64) float64 {
	return creditFactor*float64(slots)*meanCost + rate*maxAge
}
