package report

// Report is the state of the fleet for operators. Ages are in milliseconds.
type Report struct {
	// ConfigurationNumber is the highest number that a process has in force.
	ConfigurationNumber uint64 `json:"configuration_number"`
	// Everywhere reports whether all processes that responded have that number.
	Everywhere bool `json:"everywhere"`
	// SpanMS is the time over which recent service is counted; 0 until a second
	// polling round allows a comparison.
	SpanMS int64 `json:"span_ms"`
	// Gap is the fairness gap.
	Gap Gap `json:"gap"`
	// Use is the utilisation of all targets in availability zones that are in.
	Use Utilisation `json:"use"`
	// Accounts are the client accounts: those that were backlogged for the whole
	// span, then those with requests waiting now, then the others; within each
	// group in ascending order of share.
	Accounts []Account `json:"accounts"`
	// Zones are the availability zones.
	Zones []Zone `json:"zones"`
	// Moves are the moves of traffic.
	Moves []Move `json:"moves"`
	// Refused counts refused and failed requests since the start of each process.
	Refused []Refusal `json:"refused"`
	// Processes are the processes of the fleet.
	Processes []ProcessRow `json:"processes"`
	// Silent names the processes that did not respond.
	Silent []string `json:"silent"`
}

// Gap is the fairness gap: the difference between the largest and the smallest
// share (recent service divided by weight) among the accounts with requests
// waiting in every round of the span.
type Gap struct {
	// Service is the difference in tokens or units.
	Service float64 `json:"service"`
	// Most and Least name the accounts with the largest and the smallest share;
	// empty if fewer than two were backlogged.
	Most  string `json:"most"`
	Least string `json:"least"`
}

// Utilisation is the utilisation of a set of targets.
type Utilisation struct {
	// Running is the number of running requests.
	Running uint64 `json:"running"`
	// Window is the number of requests that may run at a time.
	Window uint64 `json:"window"`
	// Percent is Running as a percentage of Window.
	Percent float64 `json:"percent"`
	// Waiting is the number of requests waiting at routers.
	Waiting uint64 `json:"waiting"`
}

// Account is one client account.
type Account struct {
	Name string `json:"name"`
	// Weight is the account's share relative to others.
	Weight float64 `json:"weight"`
	// Waiting is the number of waiting requests.
	Waiting uint64 `json:"waiting"`
	// Backlogged reports whether requests waited in every round of the span.
	Backlogged bool `json:"backlogged"`
	// Recent is the service received in the span, in tokens or units.
	Recent float64 `json:"recent"`
	// Total is the service since the start of each process, as last reported.
	Total float64 `json:"total"`
}

// Zone is one availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// State is in or out.
	State string `json:"state"`
	// Targets is the number of configured targets.
	Targets int `json:"targets"`
	// Cold is the number of targets that are cold.
	Cold int `json:"cold"`
	// Silent is the number of targets whose sidecar did not respond.
	Silent int `json:"silent"`
	// Use is the utilisation of the zone's targets.
	Use Utilisation `json:"use"`
}

// Move is one move of traffic, from the youngest record that a process has read.
type Move struct {
	Name string `json:"name"`
	// State is moving, done, taking back, taken back or late.
	State string `json:"state"`
	// SharePercent is the new version's share of the traffic in percent.
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
	// AgeMS is the age of the last status; -1 if the process never responded.
	AgeMS int64 `json:"age_ms"`
	// PlatformAgeMS is the time since the platform last responded to the process; -1
	// for never.
	PlatformAgeMS int64 `json:"platform_age_ms"`
}
