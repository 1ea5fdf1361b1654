package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// stateSilent is the state of a process that does not answer.
const stateSilent = "silent"

// build makes the report from the last answers and earlier rounds.
func build(now time.Time, config *zinniaquayv1.Configuration, answers map[string]answer, rounds []round) *Report {
	r := &Report{Everywhere: true, Accounts: []Account{}, Zones: []Zone{}, Moves: []Move{}, Refused: []Refusal{}, Processes: []ProcessRow{}, Silent: []string{}}
	names := slices.Sorted(maps.Keys(answers))
	for _, name := range names {
		r.addProcess(now, name, answers[name])
	}
	r.checkNumbers()
	r.Accounts = accounts(config, answers, rounds)
	if len(rounds) > 1 {
		r.SpanMS = rounds[len(rounds)-1].at.Sub(rounds[0].at).Milliseconds()
	}
	r.Gap = gapOf(r.Accounts, r.SpanMS > 0)
	r.Zones = zones(config, answers)
	r.Use = useOf(slices.Collect(maps.Values(inZones(config, answers))))
	r.Moves = moves(now, answers)
	r.Refused = refusals(answers)
	return r
}

func (r *Report) addProcess(now time.Time, name string, a answer) {
	row := ProcessRow{
		Name:          name,
		Role:          a.status.GetMember().GetRole().String(),
		Zone:          a.status.GetMember().GetZone(),
		State:         a.status.GetMember().GetState().String(),
		Number:        a.status.GetConfigurationNumber(),
		Running:       a.status.GetRunning(),
		AgeMS:         -1,
		PlatformAgeMS: -1,
	}
	if own := a.status.GetMember().GetName(); own != "" {
		row.Name = own
	}
	if a.status != nil {
		row.AgeMS = now.Sub(a.at).Milliseconds()
		row.PlatformAgeMS = a.status.GetPlatformAgeMs()
	}
	if a.status != nil && row.PlatformAgeMS >= 0 {
		row.PlatformAgeMS += row.AgeMS
	}
	if a.silent {
		row.State = stateSilent
		r.Silent = append(r.Silent, row.Name)
	}
	r.Processes = append(r.Processes, row)
}

// checkNumbers finds the highest configuration number and whether all
// processes that answered have it.
func (r *Report) checkNumbers() {
	for _, p := range r.Processes {
		r.ConfigurationNumber = max(r.ConfigurationNumber, p.Number)
	}
	for _, p := range r.Processes {
		if p.State != stateSilent && p.Number != r.ConfigurationNumber {
			r.Everywhere = false
		}
	}
}

// accounts returns the client accounts of the configuration, and any other one
// that received service.
func accounts(config *zinniaquayv1.Configuration, answers map[string]answer, rounds []round) []Account {
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
	waiting := waitingByAccount(answers)
	var list []Account
	for name := range names {
		a := Account{Name: name, Weight: 1, Waiting: waiting[name], Total: last.service[name], Backlogged: len(rounds) > 0}
		if w := config.GetAccounts()[name].GetWeight(); w > 0 {
			a.Weight = w
		}
		// A process that restarted counts from zero again.
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

// rank puts accounts whose work waited all the time first, then those whose work
// waits now.
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

func waitingByAccount(answers map[string]answer) map[string]uint64 {
	waiting := make(map[string]uint64)
	for _, a := range answers {
		for account, n := range a.status.GetWaitingByAccount() {
			waiting[account] += n
		}
	}
	return waiting
}

// gapOf returns the gap between accounts that were backlogged, which are sorted
// by their share.
func gapOf(list []Account, compared bool) Gap {
	backlogged := slices.DeleteFunc(slices.Clone(list), func(a Account) bool { return !a.Backlogged })
	if !compared || len(backlogged) < 2 {
		return Gap{}
	}
	least, most := backlogged[0], backlogged[len(backlogged)-1]
	return Gap{Service: most.Share() - least.Share(), Most: most.Name, Least: least.Name}
}

func zones(config *zinniaquayv1.Configuration, answers map[string]answer) []Zone {
	var list []Zone
	for _, name := range slices.Sorted(maps.Keys(config.GetZones())) {
		zone := config.GetZones()[name]
		z := Zone{Name: name, Region: zone.GetRegion(), State: zone.GetState().String()}
		var inside []answer
		for target, t := range config.GetTargets() {
			if t.GetZone() != name {
				continue
			}
			z.Targets++
			a, ok := answerOf(answers, target)
			switch {
			case !ok || a.silent:
				z.Silent++
			case a.status.GetCold():
				z.Cold++
			}
			inside = append(inside, a)
		}
		z.Use = useOf(inside)
		list = append(list, z)
	}
	return list
}

// inZones leaves out the sidecars of targets in availability zones that are out:
// what they could run is no capacity that idles.
func inZones(config *zinniaquayv1.Configuration, answers map[string]answer) map[string]answer {
	in := maps.Clone(answers)
	maps.DeleteFunc(in, func(_ string, a answer) bool {
		target, ok := config.GetTargets()[a.status.GetMember().GetTarget()]
		return ok && config.GetZones()[target.GetZone()].GetState() == zinniaquayv1.AvailabilityZone_out
	})
	return in
}

// answerOf returns the answer of the sidecar beside a target.
func answerOf(answers map[string]answer, target string) (answer, bool) {
	for _, a := range answers {
		if a.status.GetMember().GetTarget() == target {
			return a, true
		}
	}
	return answer{}, false
}

// useOf adds up what runs at sidecars and waits at routers. What a silent
// process last said is not counted.
func useOf(list []answer) Use {
	var u Use
	for _, a := range list {
		if a.silent {
			continue
		}
		switch a.status.GetMember().GetRole() {
		case zinniaquayv1.Member_sidecar:
			u.Running += a.status.GetRunning()
			u.Window += a.status.GetWindow()
		case zinniaquayv1.Member_router:
			u.Waiting += a.status.GetWaiting()
		case zinniaquayv1.Member_unspecified:
		}
	}
	if u.Window > 0 {
		u.Percent = 100 * float64(u.Running) / float64(u.Window)
	}
	return u
}

// moves returns for each move what the process with the youngest record says.
func moves(now time.Time, answers map[string]answer) []Move {
	youngest := make(map[string]Move)
	for _, a := range answers {
		for _, m := range a.status.GetMoves() {
			age := m.GetRecordAgeMs() + now.Sub(a.at).Milliseconds()
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

func refusals(answers map[string]answer) []Refusal {
	total := make(map[string]uint64)
	for _, a := range answers {
		for kind, n := range a.status.GetRefused() {
			total[kind] += n
		}
	}
	list := []Refusal{}
	for _, kind := range slices.Sorted(maps.Keys(total)) {
		list = append(list, Refusal{Kind: kind, Count: total[kind]})
	}
	return list
}
