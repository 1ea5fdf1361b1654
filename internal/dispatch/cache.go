package dispatch

import "container/list"

// keptParts is the belief which parts of prompts a target's engine keeps: the
// ones that were sent there most recently, as far as its memory goes. Engines
// give up the least recently used parts first.
type keptParts struct {
	// change rises from 1 with each prompt that was sent.
	change   uint64
	capacity int
	tokens   int
	order    *list.List
	byKey    map[uint64]*list.Element
}

// keptPart is one entry.
type keptPart struct {
	key    uint64
	tokens int
}

func newKeptParts(capacity int) *keptParts {
	return &keptParts{change: 1, capacity: capacity, order: list.New(), byKey: make(map[uint64]*list.Element)}
}

// kept returns the number of leading tokens of a prompt that are believed to be
// kept: a part counts only if all parts before it do.
func (k *keptParts) kept(parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if _, ok := k.byKey[p.Key]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// use notes that a prompt was sent.
func (k *keptParts) use(parts []PromptPart) {
	k.change++
	for _, p := range parts {
		if e, ok := k.byKey[p.Key]; ok {
			k.order.MoveToFront(e)
			continue
		}
		k.byKey[p.Key] = k.order.PushFront(keptPart{p.Key, p.Tokens})
		k.tokens += p.Tokens
	}
	for k.tokens > k.capacity && k.order.Len() > 0 {
		last := k.order.Back()
		part := k.order.Remove(last).(keptPart)
		delete(k.byKey, part.key)
		k.tokens -= part.tokens
	}
}
