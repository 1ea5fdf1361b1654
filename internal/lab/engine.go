package lab

import (
	"container/list"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
)

// EngineFigures are what a model's engine is made of.
type EngineFigures struct {
	// Slots is the number of requests that run at the same time.
	Slots int `yaml:"slots"`
	// MemoryTokens is the memory for running requests and kept parts.
	MemoryTokens int `yaml:"memory_tokens"`
	// StepMS is the time of one step, and StepMSPerSlot what each running request
	// adds to it.
	StepMS        float64 `yaml:"step_ms"`
	StepMSPerSlot float64 `yaml:"step_ms_per_slot"`
	// ContextMSPerK is what each 1,000 tokens of context of a running request add.
	ContextMSPerK float64 `yaml:"context_ms_per_k"`
	// TokensPerMS is how fast prompts are read, and PairsMSPerM what a million
	// pairs of tokens add to that.
	TokensPerMS float64 `yaml:"tokens_per_ms"`
	PairsMSPerM float64 `yaml:"pairs_ms_per_m"`
	// ChunkTokens is the most that is read in one step.
	ChunkTokens int `yaml:"chunk_tokens"`
	// FirstMS is added before the first token of each request.
	FirstMS float64 `yaml:"first_ms"`
	// Stride is the number of tokens in an event.
	Stride int `yaml:"stride"`
	// Queue is the number of requests that wait inside before it refuses more.
	Queue int `yaml:"queue"`
}

// job is a request inside an engine.
type job struct {
	call *call
	// read is the number of prompt tokens in memory, made the tokens generated.
	read, made int
	// held are the kept parts that the job uses.
	held []uint64
	// waited is the time that is left before the first token may come, in ms.
	waited float64
}

func (j *job) prompt() int   { return j.call.request.TokensIn }
func (j *job) reading() bool { return j.read < j.prompt() }
func (j *job) memory() int   { return j.read + j.made }

// engine is a model's engine: it takes requests by arrival, reads prompts in chunks
// between the steps that make a token for each running request, and keeps parts of
// prompts until others need their memory, the least recently used first.
type engine struct {
	figures EngineFigures
	id      string
	waiting []*job
	running []*job
	kept    *keeper
	// stepping says that a step is under way.
	stepping bool
	// namedAt is when the engine first named a limit in a response.
	namedAt time.Duration
	// down says that the engine has crashed.
	down bool
	// leaving says that the engine says in its responses that it is leaving.
	leaving bool
	// faulty says that the engine crashes with the first tokens of any response.
	faulty bool
	// known holds the shared parts that any engine has read.
	known map[uint64]bool
	// read and reread count prompt tokens that were read, and those of shared parts
	// that some engine had read before; preempted counts requests that gave way.
	read, reread, preempted int
	// busy is the time of all steps in ms, steps their number, and batch the number
	// of requests in them.
	busy         float64
	steps, batch int
}

func newEngine(id string, f EngineFigures, known map[uint64]bool) *engine {
	return &engine{figures: f, id: id, kept: newKeeper(), known: known}
}

// add enters a request. It reports false if too many wait.
func (e *engine) add(c *call) bool {
	if len(e.waiting) >= e.figures.Queue {
		return false
	}
	e.waiting = append(e.waiting, &job{call: c, waited: e.figures.FirstMS})
	return true
}

// remove takes a request out, whether it waits or runs.
func (e *engine) remove(c *call) {
	for i, j := range e.waiting {
		if j.call == c {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	for i, j := range e.running {
		if j.call == c {
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.kept.release(j.held)
			return
		}
	}
}

// used returns the memory that can't be given up.
func (e *engine) used() int {
	used := e.kept.pinned
	for _, j := range e.running {
		used += j.memory() - e.kept.tokens(j.held)
	}
	return used
}

// admit moves waiting requests into free places while their prompts fit.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.figures.Slots {
		j := e.waiting[0]
		if e.used()+j.prompt() > e.figures.MemoryTokens && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		j.held = e.kept.take(j.call.request.Parts)
		j.read = min(e.kept.tokens(j.held), j.prompt()-1)
		e.count(j)
		e.running = append(e.running, j)
	}
}

// count counts the shared parts that are read again for a request.
func (e *engine) count(j *job) {
	parts := j.call.request.Parts
	for _, p := range parts[min(len(j.held), len(parts)-1) : len(parts)-1] {
		if e.known[p.Key] {
			e.reread += p.Tokens
		}
		e.known[p.Key] = true
	}
}

// step begins a step and returns its time in ms; 0 if there is nothing to do.
func (e *engine) step() float64 {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return 0
	}
	e.stepping = true
	f := e.figures
	took := f.StepMS
	chunk := f.ChunkTokens
	for _, j := range e.running {
		if !j.reading() {
			took += f.StepMSPerSlot + f.ContextMSPerK*float64(j.memory())/1000
			continue
		}
		n := min(chunk, j.prompt()-j.read)
		if n == 0 {
			continue
		}
		chunk -= n
		took += float64(n)/f.TokensPerMS + f.PairsMSPerM*float64(n)*(float64(j.read)+float64(n)/2)/1e6
		e.read += n
		j.read += n
	}
	e.busy += took
	e.steps++
	e.batch += len(e.running)
	return took
}

// finish ends a step that took so long: it returns the requests that made a token,
// and takes out those that are done.
func (e *engine) finish(took float64) (made []*job) {
	rest := e.running[:0]
	for _, j := range e.running {
		if j.reading() {
			rest = append(rest, j)
			continue
		}
		if j.made == 0 {
			e.kept.keep(j)
			if j.waited -= took; j.waited > 0 {
				rest = append(rest, j)
				continue
			}
		}
		j.made++
		made = append(made, j)
		if j.made >= j.call.out {
			e.kept.release(j.held)
			continue
		}
		rest = append(rest, j)
	}
	e.running = rest
	e.makeRoom()
	return made
}

// makeRoom gives kept parts up, and then the newest requests, until all fits.
func (e *engine) makeRoom() {
	e.kept.shrink(e.figures.MemoryTokens - e.used())
	for e.used() > e.figures.MemoryTokens && len(e.running) > 1 {
		j := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.kept.release(j.held)
		j.read, j.held = 0, nil
		e.waiting = append([]*job{j}, e.waiting...)
		e.preempted++
		e.kept.shrink(e.figures.MemoryTokens - e.used())
	}
}

// keeper holds the parts of prompts that an engine keeps.
type keeper struct {
	order  *list.List
	byKey  map[uint64]*list.Element
	pinned int
	free   int
}

// part is a kept part; users counts the running requests that hold it.
type part struct {
	// id identifies the part, and key the prefix that ends with it.
	id, key uint64
	length  int
	users   int
}

func newKeeper() *keeper { return &keeper{order: list.New(), byKey: make(map[uint64]*list.Element)} }

func (k *keeper) part(key uint64) *part {
	if e := k.byKey[key]; e != nil {
		return e.Value.(*part)
	}
	return nil
}

// take holds the leading parts of a prompt that are kept, and returns their keys.
func (k *keeper) take(parts []dispatch.PromptPart) []uint64 {
	var held []uint64
	for _, p := range parts {
		kept := k.part(p.Key)
		if kept == nil {
			break
		}
		k.hold(kept)
		held = append(held, p.Key)
	}
	return held
}

func (k *keeper) hold(p *part) {
	k.order.MoveToFront(k.byKey[p.key])
	if p.users++; p.users == 1 {
		k.pinned += p.length
		k.free -= p.length
	}
}

// keep keeps all parts of a prompt that was read, held by its request.
func (k *keeper) keep(j *job) {
	for _, p := range j.call.request.Parts[len(j.held):] {
		kept := k.part(p.Key)
		if kept == nil {
			kept = &part{key: p.Key, length: p.Tokens}
			k.byKey[p.Key] = k.order.PushFront(kept)
			k.free += p.Tokens
		}
		k.hold(kept)
		j.held = append(j.held, p.Key)
	}
}

// tokens returns the length of held parts.
func (k *keeper) tokens(held []uint64) int {
	n := 0
	for _, key := range held {
		n += k.part(key).length
	}
	return n
}

// release gives held parts back; they stay kept while there is memory.
func (k *keeper) release(held []uint64) {
	for _, key := range held {
		p := k.part(key)
		if p.users--; p.users == 0 {
			k.pinned -= p.length
			k.free += p.length
		}
	}
}

// shrink gives up the least recently used parts that nobody holds until those left
// fit into so many tokens.
func (k *keeper) shrink(tokens int) {
	for e := k.order.Back(); e != nil && k.free > tokens; {
		before := e.Prev()
		if p := e.Value.(*part); p.users == 0 {
			k.free -= p.length
			k.order.Remove(e)
			delete(k.byKey, p.key)
		}
		e = before
	}
}

// ms returns a number of ms as a duration.
func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
