package lab

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"
)

// Workload is a load on a deployment.
type Workload struct {
	// Name of the day in tables.
	Name string `yaml:"name"`
	// Seconds that callers come for.
	Seconds float64 `yaml:"seconds"`
	// Gateways, and Engines behind them.
	Gateways int           `yaml:"gateways"`
	Engines  int           `yaml:"engines"`
	Engine   EngineFigures `yaml:"engine"`
	// TokensPerSecond is what the operator says all engines produce.
	TokensPerSecond float64 `yaml:"tokens_per_second"`
	// ReportMS is the pause between reports of gateways on loads, and HopMS the way from one
	// process to the next.
	ReportMS float64 `yaml:"report_ms"`
	HopMS    float64 `yaml:"hop_ms"`
	// ReportPeers is the number of gateways that get each report on loads, in turn; 0 for all.
	ReportPeers int `yaml:"report_peers"`
	// UsageMS is the pause between reports on the usage of accounts; if it is left out, they
	// come as often as the exchange's bandwidth allows.
	UsageMS float64 `yaml:"usage_ms"`
	// ReportSpreadMS is the most that is added to the pause between reports, drawn for
	// each.
	ReportSpreadMS float64 `yaml:"report_spread_ms"`
	// Zones is the number of availability zones that the gateways are in, in turn; 1 if it is
	// left out.
	Zones int `yaml:"zones"`
	// Accounts is the number of client accounts; Skew is the power by which they
	// differ in size.
	Accounts int     `yaml:"accounts"`
	Skew     float64 `yaml:"skew"`
	// SingleGatewayAccounts are the accounts, by size from 1, whose callers all reach
	// the same gateway.
	SingleGatewayAccounts []int `yaml:"single_gateway_accounts"`
	// GatewayChange is the interval in seconds after which the callers of such an
	// account reach another gateway; 0 if they never do.
	GatewayChange float64 `yaml:"gateway_change"`
	// Routes are the accounts whose callers reach only some gateways, and HostLimits the
	// gateways that are short of processor time.
	Routes     []AccountRoute `yaml:"routes"`
	HostLimits []HostLimit    `yaml:"host_limits"`
	Kinds      []Kind         `yaml:"kinds"`
	Surges     []Surge        `yaml:"surges"`
	Faults     Faults         `yaml:"faults"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `yaml:"name"`
	// PerSecond is how many come.
	PerSecond float64 `yaml:"per_second"`
	// ObjectiveMS, GapMS and DeadlineMS are when the first event and each further
	// one is late, and when callers give up.
	ObjectiveMS float64 `yaml:"objective_ms"`
	GapMS       float64 `yaml:"gap_ms"`
	DeadlineMS  float64 `yaml:"deadline_ms"`
	// Worth of an answer of mean size, on time and late.
	Worth     float64 `yaml:"worth"`
	LateWorth float64 `yaml:"late_worth"`
	// Shared are the parts of prompts that requests share, in order.
	Shared []SharedPart `yaml:"shared"`
	// Own is the length of the rest of the prompt, and Events that of the answer.
	Own    Size `yaml:"own"`
	Events Size `yaml:"events"`
}

// SharedPart is one of Things parts of a length.
type SharedPart struct {
	Tokens int `yaml:"tokens"`
	Things int `yaml:"things"`
}

// Size is a log-normal distribution with a mean; Spread is its standard deviation
// beside the mean.
type Size struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"`
	Max    float64 `yaml:"max"`
}

func (s Size) draw(rng *rand.Rand) int {
	variance := math.Log(1 + s.Spread*s.Spread)
	v := math.Exp(math.Log(s.Mean) - variance/2 + math.Sqrt(variance)*rng.NormFloat64())
	return max(1, int(math.Min(v, s.Max)))
}

// Surge multiplies a part of the load for a while.
type Surge struct {
	From float64 `yaml:"from"`
	To   float64 `yaml:"to"`
	// Times is by how much.
	Times float64 `yaml:"times"`
	// Kind is the kind that surges, or Account the account by size from 1; all if
	// both are left out.
	Kind    string `yaml:"kind"`
	Account int    `yaml:"account"`
}

// HeavyWorkload returns the day that the lab plays unless another is given: more than its
// engines can read, with a surge of everything and one of a single account.
func HeavyWorkload() Workload {
	return Workload{
		Name: "heavy", Seconds: 34, Gateways: 4, Engines: 12, TokensPerSecond: 290_000, ReportMS: 200, HopMS: 1, Accounts: 16, Skew: 1,
		Engine: EngineFigures{
			Slots: 64, MemoryTokens: 544_695, StepMS: 3.88, StepMSPerSlot: 0.0276, ContextMSPerK: 0.00365, TokensPerMS: 66.2,
			PairsMSPerM: 0.276, ChunkTokens: 4096, FirstMS: 12, Stride: 6, Queue: 134,
		},
		Kinds: []Kind{
			{Name: "plan", PerSecond: 42.7, ObjectiveMS: 800, GapMS: 500, DeadlineMS: 15_000, Worth: 5.5, LateWorth: 0.55,
				Shared: []SharedPart{{512, 3}, {4870, 100}}, Own: Size{6610, 1.4, 54_600}, Events: Size{63.7, 0.44, 187}},
			{Name: "chat", PerSecond: 96, ObjectiveMS: 500, GapMS: 500, DeadlineMS: 12_000, Worth: 1.8, LateWorth: 0.18,
				Shared: []SharedPart{{198, 20}}, Own: Size{628, 1.3, 6000}, Events: Size{49, 0.6, 200}},
			{Name: "tag", PerSecond: 67.8, ObjectiveMS: 500, GapMS: 500, DeadlineMS: 3_000, Worth: 0.55, LateWorth: 0.055,
				Shared: []SharedPart{{341, 20}, {227, 240}}, Own: Size{1800, 1.3, 6870}, Events: Size{3.76, 1.4, 15}},
		},
		Surges: []Surge{{From: 8, To: 14, Times: 1.7}, {From: 18, To: 26, Times: 6, Account: 3}},
	}
}

// LoadWorkload reads a day from a YAML file. Its error names the field that is wrong.
func LoadWorkload(path string) (Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, fmt.Errorf("day: %w", err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	var d Workload
	if err := decoder.Decode(&d); err != nil {
		return Workload{}, fmt.Errorf("day: %s: %w", path, err)
	}
	if err := d.check(); err != nil {
		return Workload{}, fmt.Errorf("day: %s: %w", path, err)
	}
	return d, nil
}

func (d *Workload) check() error {
	for _, f := range []struct {
		field string
		value float64
	}{
		{"seconds", d.Seconds}, {"gateways", float64(d.Gateways)}, {"engines", float64(d.Engines)}, {"accounts", float64(d.Accounts)},
		{"report_ms", d.ReportMS}, {"engine.slots", float64(d.Engine.Slots)}, {"engine.memory_tokens", float64(d.Engine.MemoryTokens)},
		{"engine.step_ms", d.Engine.StepMS}, {"engine.tokens_per_ms", d.Engine.TokensPerMS},
		{"engine.chunk_tokens", float64(d.Engine.ChunkTokens)}, {"engine.stride", float64(d.Engine.Stride)}, {"engine.queue", float64(d.Engine.Queue)}, {"kinds", float64(len(d.Kinds))},
	} {
		if f.value <= 0 {
			return fmt.Errorf("field %s: %v is not above 0", f.field, f.value)
		}
	}
	for _, k := range d.Kinds {
		if k.ObjectiveMS <= 0 || k.DeadlineMS <= 0 || k.Own.Mean <= 0 || k.Own.Max <= 0 || k.Events.Mean <= 0 || k.Events.Max <= 0 {
			return fmt.Errorf("field kinds: %s: objective_ms, deadline_ms, own and events must be above 0", k.Name)
		}
	}
	if err := d.checkHosts(); err != nil {
		return err
	}
	return d.checkFaults()
}

// arrivals returns the day's first attempts in order of time.
func (d *Workload) arrivals(seed uint64) []*caller {
	rng := rand.New(rand.NewPCG(seed, 1))
	sizes := make([]float64, d.Accounts)
	total := 0.0
	for i := range sizes {
		sizes[i] = math.Pow(float64(i+1), -d.Skew)
		total += sizes[i]
	}
	var callers []*caller
	for at := 0.0; at < d.Seconds; {
		rates := make([]float64, 0, len(d.Kinds)*d.Accounts)
		sum := 0.0
		for i := range d.Kinds {
			for a := range d.Accounts {
				r := d.Kinds[i].PerSecond * sizes[a] / total * d.surge(at, d.Kinds[i].Name, a+1)
				rates = append(rates, r)
				sum += r
			}
		}
		at += rng.ExpFloat64() / sum
		point, pick := rng.Float64()*sum, 0
		for point > rates[pick] && pick < len(rates)-1 {
			point -= rates[pick]
			pick++
		}
		callers = append(callers, d.caller(rng, uint64(len(callers)+1), at, pick/d.Accounts, pick%d.Accounts))
	}
	return callers
}

func (d *Workload) surge(at float64, kind string, account int) float64 {
	times := 1.0
	for _, s := range d.Surges {
		if at >= s.From && at < s.To && (s.Kind == "" || s.Kind == kind) && (s.Account == 0 || s.Account == account) {
			times *= s.Times
		}
	}
	return times
}

// caller draws what one caller asks.
func (d *Workload) caller(rng *rand.Rand, id uint64, at float64, kind, account int) *caller {
	k := &d.Kinds[kind]
	c := &caller{id: id, kind: k, account: accountName(account + 1), at: ms(at * 1000), left: 1}
	c.gateway = -1
	if slices.Contains(d.SingleGatewayAccounts, account+1) {
		c.gateway = account
		if d.GatewayChange > 0 {
			c.gateway += int(at / d.GatewayChange)
		}
		c.gateway %= d.Gateways
	}
	key := uint64(kind + 1)
	for _, p := range k.Shared {
		key = key*1_000_003 + uint64(rng.IntN(p.Things)) + 1
		c.parts = append(c.parts, part{id: key, key: key, length: p.Tokens})
	}
	own := 1<<60 + id
	c.parts = append(c.parts, part{id: own, key: own, length: k.Own.draw(rng)})
	c.out = k.Events.draw(rng) * d.Engine.Stride
	for _, p := range c.parts {
		c.in += p.length
	}
	return c
}

// accountName returns the name of an account by its size from 1.
func accountName(rank int) string { return fmt.Sprintf("account-%d", rank) }

// meanSize returns the mean size of a kind's requests, as worth is counted.
func (d *Workload) meanSize(k *Kind) float64 {
	n := k.Own.Mean + outputSize*k.Events.Mean*float64(d.Engine.Stride)
	for _, p := range k.Shared {
		n += float64(p.Tokens)
	}
	return n
}

// start is the moment at which days begin; no clock is read.
var start = time.Unix(1_700_000_000, 0)
