package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// stateSilent is the state of a process that did not respond.
const stateSilent = "silent"

// build makes the report from the last statuses and the recorded rounds.
func build(now time.Time, config *zinniaquayv1.Configuration, statuses map[string]processStatus, rounds []round) *Report {
	r := &Report{Everywhere: true, Accounts: []Account{}, Zones: []Zone{}, Moves: []Move{}, Refused: []Refusal{}, Processes: []ProcessRow{}, Silent: []string{}}
	names := slices.Sorted(maps.Keys(statuses))
	for _, name := range names {
		r.addProcess(now, name, statuses[name])
	}
	r.checkConfigurationNumbers()
	r.Accounts = accounts(config, statuses, rounds)
	if len(rounds) > 1 {
		r.SpanMS = rounds[len(rounds)-1].at.Sub(rounds[0].at).Milliseconds()
	}
	r.Gap = gapOf(r.Accounts, r.SpanMS > 0)
	r.Zones = zones(config, statuses)
	r.Use = utilisation(slices.Collect(maps.Values(excludeOutZones(config, statuses))))
	r.Moves = moves(now, statuses)
	r.Refused = refusals(statuses)
	return r
}

func (r *Report) addProcess(now time.Time, name string, s processStatus) {
	row := ProcessRow{
		Name:          name,
		Role:          s.status.GetMember().GetRole().String(),
		Zone:          s.status.GetMember().GetZone(),
		State:         s.status.GetMember().GetState().String(),
		Number:        s.status.GetConfigurationNumber(),
		Running:       s.status.GetRunning(),
		AgeMS:         -1,
		PlatformAgeMS: -1,
	}
	if own := s.status.GetMember().GetName(); own != "" {
		row.Name = own
	}
	if s.status != nil {
		row.AgeMS = now.Sub(s.at).Milliseconds()
		row.PlatformAgeMS = s.status.GetPlatformAgeMs()
	}
	if s.status != nil && row.PlatformAgeMS >= 0 {
		row.PlatformAgeMS += row.AgeMS
	}
	if s.silent {
		row.State = stateSilent
		r.Silent = append(r.Silent, row.Name)
	}
	r.Processes = append(r.Processes, row)
}

// checkConfigurationNumbers sets the highest configuration number and
// whether all processes that responded have it.
func (r *Report) checkConfigurationNumbers() {
	for _, p := range r.Processes {
		r.ConfigurationNumber = max(r.ConfigurationNumber, p.Number)
	}
	for _, p := range r.Processes {
		if p.State != stateSilent && p.Number != r.ConfigurationNumber {
			r.Everywhere = false
		}
	}
}

// accounts returns the client accounts of the configuration and any others that
// received service.
func accounts(config *zinniaquayv1.Configuration, statuses map[string]processStatus, rounds []round) []Account {
	names := make(map[string]bool)
	for name := range config.GetAccounts() {
		names[name] = true
	}
	last, first := round{}, round{}
	if len(rounds) > 0 {
		last, first = rounds[len(rounds)-1], rounds[0]
	}
	for name := range last.service {
		names[name] = true
	}
	waiting := waitingByAccount(statuses)
	var list []Account
	for name := range names {
		a := Account{Name: name, Weight: 1, Waiting: waiting[name], Total: last.service[name], Backlogged: len(rounds) > 0}
		if w := config.GetAccounts()[name].GetWeight(); w > 0 {
			a.Weight = w
		}
		// A restart resets the counters of a process, so the difference can be
		// negative.
		a.Recent = max(last.service[name]-first.service[name], 0)
		for _, r := range rounds {
			a.Backlogged = a.Backlogged && r.waiting[name]
		}
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b Account) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Share(), b.Share()), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// rank is the sort rank: accounts that were backlogged for the whole span come
// first, then those with requests waiting now.
func (a Account) rank() int {
	switch {
	case a.Backlogged:
		return 0
	case a.Waiting > 0:
		return 1
	}
	return 2
}

// Share returns the recent service divided by the weight.
func (a Account) Share() float64 { return a.Recent / a.Weight }

func waitingByAccount(statuses map[string]processStatus) map[string]uint64 {
	waiting := make(map[string]uint64)
	for _, s := range statuses {
		for account, n := range s.status.GetWaitingByAccount() {
			waiting[account] += n
		}
	}
	return waiting
}

// gapOf returns the fairness gap among the backlogged accounts. The list is
// sorted by share within each rank.
func gapOf(list []Account, compared bool) Gap {
	backlogged := slices.DeleteFunc(slices.Clone(list), func(a Account) bool { return !a.Backlogged })
	if !compared || len(backlogged) < 2 {
		return Gap{}
	}
	least, most := backlogged[0], backlogged[len(backlogged)-1]
	return Gap{Service: most.Share() - least.Share(), Most: most.Name, Least: least.Name}
}

func zones(config *zinniaquayv1.Configuration, statuses map[string]processStatus) []Zone {
	var list []Zone
	for _, name := range slices.Sorted(maps.Keys(config.GetZones())) {
		zone := config.GetZones()[name]
		z := Zone{Name: name, Region: zone.GetRegion(), State: zone.GetState().String()}
		var inside []processStatus
		for target, t := range config.GetTargets() {
			if t.GetZone() != name {
				continue
			}
			z.Targets++
			s, ok := statusOfTarget(statuses, target)
			switch {
			case !ok || s.silent:
				z.Silent++
			case s.status.GetCold():
				z.Cold++
			}
			inside = append(inside, s)
		}
		z.Use = utilisation(inside)
		list = append(list, z)
	}
	return list
}

// excludeOutZones leaves out the sidecars of targets in availability zones that
// are out: their free slots are not idle capacity.
func excludeOutZones(config *zinniaquayv1.Configuration, statuses map[string]processStatus) map[string]processStatus {
	in := maps.Clone(statuses)
	maps.DeleteFunc(in, func(_ string, s processStatus) bool {
		target, ok := config.GetTargets()[s.status.GetMember().GetTarget()]
		return ok && config.GetZones()[target.GetZone()].GetState() == zinniaquayv1.AvailabilityZone_out
	})
	return in
}

// statusOfTarget returns the status of the sidecar of a target.
func statusOfTarget(statuses map[string]processStatus, target string) (processStatus, bool) {
	for _, s := range statuses {
		if s.status.GetMember().GetTarget() == target {
			return s, true
		}
	}
	return processStatus{}, false
}

// utilisation adds up the requests that run at sidecars and those that wait at
// routers. The last status of a silent process is not counted.
func utilisation(list []processStatus) Utilisation {
	var u Utilisation
	for _, s := range list {
		if s.silent {
			continue
		}
		switch s.status.GetMember().GetRole() {
		case zinniaquayv1.Member_sidecar:
			u.Running += s.status.GetRunning()
			u.Window += s.status.GetWindow()
		case zinniaquayv1.Member_router:
			u.Waiting += s.status.GetWaiting()
		case zinniaquayv1.Member_unspecified:
		}
	}
	if u.Window > 0 {
		u.Percent = 100 * float64(u.Running) / float64(u.Window)
	}
	return u
}

// moves returns each move as reported by the process with the youngest record.
func moves(now time.Time, statuses map[string]processStatus) []Move {
	youngest := make(map[string]Move)
	for _, s := range statuses {
		for _, m := range s.status.GetMoves() {
			age := m.GetRecordAgeMs() + now.Sub(s.at).Milliseconds()
			if known, ok := youngest[m.GetMove()]; ok && known.AgeMS <= age {
				continue
			}
			youngest[m.GetMove()] = Move{Name: m.GetMove(), State: m.GetState(), SharePercent: 100 * m.GetShare(), Reason: m.GetReason(), AgeMS: age}
		}
	}
	list := []Move{}
	for _, name := range slices.Sorted(maps.Keys(youngest)) {
		list = append(list, youngest[name])
	}
	return list
}

func refusals(statuses map[string]processStatus) []Refusal {
	total := make(map[string]uint64)
	for _, s := range statuses {
		for kind, n := range s.status.GetRefused() {
			total[kind] += n
		}
	}
	list := []Refusal{}
	for _, kind := range slices.Sorted(maps.Keys(total)) {
		list = append(list, Refusal{Kind: kind, Count: total[kind]})
	}
	return list
}
