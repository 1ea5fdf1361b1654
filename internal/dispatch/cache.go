package dispatch

import "container/list"

// prefixCache estimates which prompt parts are in the prefix cache of a target's
// engine: the most recently sent ones that fit into its memory. Engines evict the
// least recently used parts first.
type prefixCache struct {
	// revision starts at 1 and is incremented by each prompt that was sent.
	revision uint64
	capacity int
	tokens   int
	lru      *list.List
	byKey    map[uint64]*list.Element
}

type cachedPart struct {
	key    uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{revision: 1, capacity: capacity, lru: list.New(), byKey: make(map[uint64]*list.Element)}
}

// cachedTokens returns the estimated number of leading prompt tokens in the cache.
// A part counts only if all parts before it are cached.
func (c *prefixCache) cachedTokens(parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if _, ok := c.byKey[p.Key]; !ok {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add records the parts of a prompt that was sent and evicts parts beyond the
// capacity.
func (c *prefixCache) add(parts []PromptPart) {
	c.revision++
	for _, p := range parts {
		if e, ok := c.byKey[p.Key]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.byKey[p.Key] = c.lru.PushFront(cachedPart{p.Key, p.Tokens})
		c.tokens += p.Tokens
	}
	for c.tokens > c.capacity && c.lru.Len() > 0 {
		last := c.lru.Back()
		part := c.lru.Remove(last).(cachedPart)
		delete(c.byKey, part.key)
		c.tokens -= part.tokens
	}
}
