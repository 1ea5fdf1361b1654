package report

// Report is what operators read. Ages are in milliseconds.
type Report struct {
	// ConfigurationNumber is the highest number that a process has in force.
	ConfigurationNumber uint64 `json:"configuration_number"`
	// Everywhere says whether all processes that answered have that number.
	Everywhere bool `json:"everywhere"`
	// SpanMS is the time over which recent service is counted; 0 until a second
	// round of questions allows a comparison.
	SpanMS int64 `json:"span_ms"`
	// Gap is the fairness gap.
	Gap Gap `json:"gap"`
	// Use is the utilisation of all targets in availability zones that are in.
	Use Use `json:"use"`
	// Accounts are the client accounts: those whose work waited all the time, then
	// those whose work waits now, then the others, each least served first.
	Accounts []Account `json:"accounts"`
	// Zones are the availability zones.
	Zones []Zone `json:"zones"`
	// Moves are the moves of traffic.
	Moves []Move `json:"moves"`
	// Refused counts requests that did not get their answer, since each process's
	// start.
	Refused []Refusal `json:"refused"`
	// Processes are the processes of the fleet.
	Processes []ProcessRow `json:"processes"`
	// Silent names the processes that did not answer.
	Silent []string `json:"silent"`
}

// Gap is the difference in recent service, each divided by the weight, between
// the account that received most and the one that received least, among those
// with work waiting in every round of the span.
type Gap struct {
	// Service is the difference in tokens or units.
	Service float64 `json:"service"`
	// Most and Least name the two accounts; empty if fewer than two had work
	// waiting all the time.
	Most  string `json:"most"`
	Least string `json:"least"`
}

// Use is the utilisation of some targets.
type Use struct {
	// Running is the number of requests that run.
	Running uint64 `json:"running"`
	// Window is the number that may run.
	Window uint64 `json:"window"`
	// Percent is Running of Window in percent.
	Percent float64 `json:"percent"`
	// Waiting is the number of requests that wait at routers.
	Waiting uint64 `json:"waiting"`
}

// Account is one client account.
type Account struct {
	Name string `json:"name"`
	// Weight is the account's share relative to others.
	Weight float64 `json:"weight"`
	// Waiting is the number of requests that wait.
	Waiting uint64 `json:"waiting"`
	// Backlogged says whether work waited in every round of the span.
	Backlogged bool `json:"backlogged"`
	// Recent is the service received in the span, in tokens or units.
	Recent float64 `json:"recent"`
	// Total is the service since the start of the processes that answered.
	Total float64 `json:"total"`
}

// Zone is one availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// State is in or out.
	State string `json:"state"`
	// Targets is the number of targets that the configuration names.
	Targets int `json:"targets"`
	// Cold is the number of targets that are cold.
	Cold int `json:"cold"`
	// Silent is the number of targets whose sidecar did not answer.
	Silent int `json:"silent"`
	// Use is the utilisation of the zone's targets.
	Use Use `json:"use"`
}

// Move is one move of traffic, as the youngest record that a process read says.
type Move struct {
	Name string `json:"name"`
	// State is moving, done, taking back, taken back or late.
	State string `json:"state"`
	// SharePercent is the share of the new version in percent.
	SharePercent float64 `json:"share_percent"`
	Reason       string  `json:"reason"`
	// AgeMS is the age of the committed record.
	AgeMS int64 `json:"age_ms"`
}

// Refusal counts the refusals of one kind.
type Refusal struct {
	Kind  string `json:"kind"`
	Count uint64 `json:"count"`
}

// ProcessRow is one process.
type ProcessRow struct {
	Name string `json:"name"`
	// Role is router or sidecar.
	Role string `json:"role"`
	Zone string `json:"zone"`
	// State is live, leaving or silent.
	State string `json:"state"`
	// Number is the configuration in force there.
	Number uint64 `json:"number"`
	// Running is the number of requests that run there.
	Running uint64 `json:"running"`
	// AgeMS is the age of the process's figures; -1 if it never answered.
	AgeMS int64 `json:"age_ms"`
	// PlatformAgeMS is the time since the platform answered it; -1 for never.
	PlatformAgeMS int64 `json:"platform_age_ms"`
}
