package router

const (
	// maxHeldBytes bounds the bodies of all requests that a router holds.
	maxHeldBytes = 48 << 20
	// maxAccountHeldBytes bounds those of one client account.
	maxAccountHeldBytes = maxHeldBytes / 4
	// smallHeldBytes is what an account may hold though the router is full, so
	// that large bodies of a few accounts don't keep others out.
	smallHeldBytes = 1 << 20
)

// holdings counts the bytes of the requests' bodies that a router holds, from
// when they are queued until they end. It is not safe for concurrent use.
type holdings struct {
	total     int
	byAccount map[string]int
}

// newHoldings returns empty holdings.
func newHoldings() *holdings {
	return &holdings{byAccount: make(map[string]int)}
}

// fits reports whether an account may hold some more bytes.
func (h *holdings) fits(account string, bytes int) bool {
	held := h.byAccount[account] + bytes
	if held > maxAccountHeldBytes {
		return false
	}
	return h.total+bytes <= maxHeldBytes || held <= smallHeldBytes
}

// take adds the bytes of a request.
func (h *holdings) take(account string, bytes int) {
	h.total += bytes
	h.byAccount[account] += bytes
}

// give takes the bytes of a request that has ended away.
func (h *holdings) give(account string, bytes int) {
	h.total -= bytes
	h.byAccount[account] -= bytes
	if h.byAccount[account] == 0 {
		delete(h.byAccount, account)
	}
}
