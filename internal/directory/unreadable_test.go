package directory

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
)

// oddDecoder can't decode any item.
type oddDecoder struct{ testDecoder }

func (oddDecoder) Decode(*catalog.View, platform.Item, time.Time) error { return errors.New("odd") }

// Guards against odd entries that fill a process's log or memory.
func TestManyOddEntriesAreBoundedInLogAndMemory(t *testing.T) {
	const entries = 10_000
	is, lines, registry := is.New(t), 0, metrics.NewRegistry()
	log := funcr.New(func(string, string) { lines++ }, funcr.Options{})
	d := New(&faultyStore{}, oddDecoder{}, Options{OnChange: func(*catalog.View) {}}, registry, log)
	view, now := emptyView(), time.Now()
	for revision := range int64(2) {
		for i := range entries {
			d.applyItem(view, platform.Item{Key: fmt.Sprintf("servers/%d", i), Revision: revision + 1}, now)
		}
	}
	is.True(lines > 0 && lines <= 2*maxUnreadableLogs) // more only if the test takes seconds
	is.True(len(d.unreadable) <= maxUnreadable)
	is.Equal(d.unreadableItems.Count(), int64(2*entries))
	for i := range entries {
		d.applyItem(view, platform.Item{Key: fmt.Sprintf("servers/%d", i), Revision: 9, Deleted: true}, now)
	}
	is.Equal(len(d.unreadable), 0) // what is gone is forgotten
}
