package directory

import (
	"context"
	"errors"
	"fmt"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// Register writes the process's own item, unless an earlier incarnation wrote
// the same: each change of the store wakes every watch, and peers tell by their
// reports which members live.
func (d *Directory) Register(ctx context.Context, self catalog.Member) {
	for {
		known, read := d.View().Members[self.Name], d.hasRead()
		if read && known.Addr == self.Addr && known.Zone == self.Zone {
			return
		}
		if read {
			d.join(ctx, self, known.Revision)
		}
		if !wait.For(ctx, retryPause) {
			return
		}
	}
}

// hasRead reports whether the store has been read once.
func (d *Directory) hasRead() bool {
	_, known := d.Age()
	return known
}

// join writes the process's item.
func (d *Directory) join(ctx context.Context, self catalog.Member, revision int64) {
	value, err := d.decoder.EncodeMember(self)
	if err != nil {
		d.log.Error(err, "process not registered")
		return
	}
	key := d.layout.MemberKey(self.Name)
	conditions := []platform.Condition{{Key: key, Revision: revision}}
	_, err = d.store.Commit(ctx, conditions, []platform.Write{{Key: key, Value: value}}, nil)
	d.note(err)
	if err != nil {
		// The next round reads the view anew.
		d.log.Info("process not registered yet", "cause", err.Error())
	}
}

// RemoveMember removes the item of a member that is gone for good.
func (d *Directory) RemoveMember(ctx context.Context, m catalog.Member) {
	key := d.layout.MemberKey(m.Name)
	_, err := d.store.Commit(ctx, []platform.Condition{{Key: key, Revision: m.Revision}}, nil, []string{key})
	d.note(err)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		d.log.Info("silent member kept", "member", m.Name, "cause", err.Error())
		return
	}
	d.log.Info("silent member removed", "member", m.Name)
}

// WriteStatus tells the operator of a service's move, unless the status was
// written by another process since the view. Its error is ErrConflict then.
func (d *Directory) WriteStatus(ctx context.Context, service, to string, state catalog.MoveState, over int64) error {
	value, err := d.decoder.EncodeStatus(service, to, state)
	if err != nil {
		return err
	}
	key := d.layout.StatusKey(service)
	condition := platform.Condition{Key: key, Revision: over}
	_, err = d.store.Commit(ctx, []platform.Condition{condition}, []platform.Write{{Key: key, Value: value}}, nil)
	d.note(err)
	if err != nil {
		return fmt.Errorf("write status of %s: %w", service, err)
	}
	return nil
}
