package router

const (
	// maxBufferedBytes limits the request bodies that a router buffers.
	maxBufferedBytes = 48 << 20
	// maxAccountBufferedBytes limits the buffered bodies of one client account.
	maxAccountBufferedBytes = maxBufferedBytes / 4
	// minAccountBufferedBytes is available to each account even if the router is
	// at its limit, so that large bodies of a few accounts do not block other
	// accounts.
	minAccountBufferedBytes = 1 << 20
)

// bufferedBytes counts the bytes of request bodies that a router buffers, from
// when a request is queued until it ends. It is not safe for concurrent use.
type bufferedBytes struct {
	total     int
	byAccount map[string]int
}

func newBufferedBytes() *bufferedBytes {
	return &bufferedBytes{byAccount: make(map[string]int)}
}

// fits reports whether an account may buffer the given number of further
// bytes.
func (b *bufferedBytes) fits(account string, bytes int) bool {
	buffered := b.byAccount[account] + bytes
	if buffered > maxAccountBufferedBytes {
		return false
	}
	return b.total+bytes <= maxBufferedBytes || buffered <= minAccountBufferedBytes
}

// add counts the body of a request that is queued.
func (b *bufferedBytes) add(account string, bytes int) {
	b.total += bytes
	b.byAccount[account] += bytes
}

// remove subtracts the body of a request that has ended.
func (b *bufferedBytes) remove(account string, bytes int) {
	b.total -= bytes
	b.byAccount[account] -= bytes
	if b.byAccount[account] == 0 {
		delete(b.byAccount, account)
	}
}
