package fairness

// Limits are the quantities that the fairness bound is made of.
type Limits struct {
	// Targets is the number of targets that both accounts wait for.
	Targets int
	// Running is the most requests that run at one target.
	Running int
	// Cost is the largest service of one request, in tokens or units.
	Cost float64
	// Batch is the most service that an engine gives one request before the
	// sidecar is told, in tokens.
	Batch float64
	// Rate is the service that one target gives, per second.
	Rate float64
	// Age is the longest time in seconds from a token until every process that
	// orders the account has counted it.
	Age float64
}

// Gap returns the bound on the difference in virtual service received, over any
// time in which two accounts of weight 1 or more both have requests waiting for
// the same targets. Targets are all those that serve either of them:
//
//	work in flight     Targets * Running * Cost
//	+ engine batch     Targets * Running * Batch
//	+ stale counters   Targets * Rate * Age
func (l Limits) Gap() float64 {
	places := float64(l.Targets * l.Running)
	return places*(l.Cost+l.Batch) + float64(l.Targets)*l.Rate*l.Age
}

// creditParts is the number of times that an account may trail by what the
// fleet's places hold at the mean cost of a request. Too little takes service
// from accounts that never went idle; the design note has the figures.
const creditParts = 4

// Credit returns the virtual service by which an account may trail the most
// served account that waits beside it: several times what the places hold at the
// mean cost of a request, and what stale counters hide. rate is the service that
// all targets together give in a second, and age that of Limits.
func Credit(places int, meanCost, rate, age float64) float64 {
	return creditParts*float64(places)*meanCost + rate*age
}
