package directory

import (
	"time"

	"github.com/zinniaquay/zinniaquay/internal/platform"
)

const (
	// maxHistoryItems and maxHistoryBytes bound the changes that are kept for other
	// processes, and historyAge is how long they are kept. The others ask several times a
	// second.
	maxHistoryItems = 2000
	maxHistoryBytes = 512 << 10
	historyAge      = 10 * time.Second
)

// history holds the latest changes of a view, in the order of their revisions.
type history struct {
	// base is the position after which all changes are held.
	base  platform.Position
	items []datedItem
	bytes int
}

// datedItem is a change and when it was applied.
type datedItem struct {
	platform.Item
	at time.Time
}

// reset drops all changes and begins at a position.
func (h *history) reset(position platform.Position) {
	*h = history{base: position}
}

// add adds changes.
func (h *history) add(items []platform.Item, now time.Time) {
	for _, item := range items {
		h.items = append(h.items, datedItem{item, now})
		h.bytes += itemSize(item)
	}
	h.trim(now)
}

// trim drops the oldest changes beyond the bounds.
func (h *history) trim(now time.Time) {
	dropped := 0
	for dropped < len(h.items) && (len(h.items)-dropped > maxHistoryItems || h.bytes > maxHistoryBytes ||
		now.Sub(h.items[dropped].at) > historyAge) {
		h.base.Revision = max(h.base.Revision, h.items[dropped].Revision)
		h.bytes -= itemSize(h.items[dropped].Item)
		dropped++
	}
	if dropped > 0 {
		h.items = append([]datedItem(nil), h.items[dropped:]...)
	}
}

// after returns the changes after a position. It reports false if they are not all held.
func (h *history) after(position platform.Position) ([]platform.Item, bool) {
	if position.Era != h.base.Era || position.Revision < h.base.Revision {
		return nil, false
	}
	var items []platform.Item
	for _, item := range h.items {
		if item.Revision > position.Revision {
			items = append(items, item.Item)
		}
	}
	return items, true
}

func itemSize(item platform.Item) int { return len(item.Key) + len(item.Value) }
