package directory

import (
	"context"
	"errors"
	"fmt"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// Register writes the process's own entry and retries until the view contains it.
// It writes nothing if an earlier incarnation wrote the same entry: each change of
// the store wakes every watch, and peers detect live members by their reports.
func (d *Directory) Register(ctx context.Context, self catalog.Member) {
	for {
		known, read := d.View().Members[self.Name], d.viewRead()
		if read && known.Addr == self.Addr && known.Zone == self.Zone {
			return
		}
		if read {
			d.writeMember(ctx, self, known.Revision)
		}
		if !wait.For(ctx, retryDelay) {
			return
		}
	}
}

// viewRead reports whether the view has been read from the store.
func (d *Directory) viewRead() bool {
	_, known := d.Age()
	return known
}

// writeMember writes the process's entry.
func (d *Directory) writeMember(ctx context.Context, self catalog.Member, revision int64) {
	value, err := d.decoder.EncodeMember(self)
	if err != nil {
		d.log.Error(err, "encode member entry failed; process not registered")
		return
	}
	key := d.layout.MemberKey(self.Name)
	conditions := []platform.Condition{{Key: key, Revision: revision}}
	_, err = d.store.Commit(ctx, conditions, []platform.Write{{Key: key, Value: value}}, nil)
	d.recordResult(err)
	if err != nil {
		// The next attempt reads the revision from the view again.
		d.log.Info("register process failed; trying again", "cause", err.Error())
	}
}

// RemoveMember removes the entry of a member that no longer runs.
func (d *Directory) RemoveMember(ctx context.Context, m catalog.Member) {
	key := d.layout.MemberKey(m.Name)
	_, err := d.store.Commit(ctx, []platform.Condition{{Key: key, Revision: m.Revision}}, nil, []string{key})
	d.recordResult(err)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		d.log.Info("remove silent member failed", "member", m.Name, "cause", err.Error())
		return
	}
	d.log.Info("silent member removed", "member", m.Name)
}

// WriteStatus writes the status of a service's move for the operator. The error
// wraps platform.ErrConflict if the status changed after expectedRevision.
func (d *Directory) WriteStatus(ctx context.Context, service, to string, state catalog.MoveState, expectedRevision int64) error {
	value, err := d.decoder.EncodeStatus(service, to, state)
	if err != nil {
		return err
	}
	key := d.layout.StatusKey(service)
	condition := platform.Condition{Key: key, Revision: expectedRevision}
	_, err = d.store.Commit(ctx, []platform.Condition{condition}, []platform.Write{{Key: key, Value: value}}, nil)
	d.recordResult(err)
	if err != nil {
		return fmt.Errorf("write status of %s: %w", service, err)
	}
	return nil
}
