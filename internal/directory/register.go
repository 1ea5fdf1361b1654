package directory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

const (
	// registerInterval is the interval between checks that the store has the entries of
	// all processes.
	registerInterval = 500 * time.Millisecond
	// turnInterval is the time by which a process waits longer than the one before it, in
	// the order of names, before it writes lost entries again.
	turnInterval = 200 * time.Millisecond
	// registerTimeout is how long a process waits to see its own entry in the view before it
	// writes it again.
	registerTimeout = 2 * time.Second
	// maxCommitWrites bounds the entries in one commit.
	maxCommitWrites = 32
)

// Register keeps the process's own entry in the store until the context ends. It writes
// nothing while the store has the same entry, also one of an earlier incarnation: each
// change of the store wakes every watch, and peers detect live members by their reports.
//
// After a restore of the store all processes find entries missing at the same time. One of
// them writes them all, the others if it does not.
func (d *Directory) Register(ctx context.Context, self catalog.Member) {
	for pause := time.Duration(0); pause == 0 || wait.For(ctx, pause); {
		pause = retryDelay
		known, read := d.View().Members[self.Name], d.viewRead()
		switch {
		case !read:
		case known.Addr != self.Addr || known.Zone != self.Zone:
			written := d.writeMembers(ctx, []catalog.Member{{Name: self.Name, Addr: self.Addr, Zone: self.Zone, Revision: known.Revision}})
			d.waitForPosition(ctx, written, registerTimeout)
		case len(lostMembers(d.View())) > 0:
			if !wait.For(ctx, turnInterval*time.Duration(turn(d.View(), self.Name))) {
				return
			}
			for lost := range slices.Chunk(lostMembers(d.View()), maxCommitWrites) {
				d.writeMembers(ctx, lost)
			}
		default:
			pause = registerInterval
		}
	}
}

// lostMembers returns the members whose entries the store lost, in the order of names.
func lostMembers(view *catalog.View) []catalog.Member {
	var lost []catalog.Member
	for _, m := range view.Members {
		if m.Revision == 0 {
			lost = append(lost, m)
		}
	}
	slices.SortFunc(lost, func(a, b catalog.Member) int { return strings.Compare(a.Name, b.Name) })
	return lost
}

// turn returns the number of members whose names come before one.
func turn(view *catalog.View, name string) int {
	before := 0
	for other := range view.Members {
		if other < name {
			before++
		}
	}
	return before
}

// viewRead reports whether the view has been read from the store.
func (d *Directory) viewRead() bool {
	_, known := d.Age()
	return known
}

// writeMembers writes the entries of members, each if it has not changed since its revision.
// It returns the position of the write; the zero position if it failed.
func (d *Directory) writeMembers(ctx context.Context, members []catalog.Member) platform.Position {
	var conditions []platform.Condition
	var writes []platform.Write
	for _, m := range members {
		value, err := d.decoder.EncodeMember(m)
		if err != nil {
			d.log.Error(err, "encode member entry failed; member not registered", "member", m.Name)
			continue
		}
		key := d.layout.MemberKey(m.Name)
		conditions = append(conditions, platform.Condition{Key: key, Revision: m.Revision})
		writes = append(writes, platform.Write{Key: key, Value: value})
	}
	position, err := d.Commit(ctx, conditions, writes, nil)
	if err != nil {
		// The next attempt reads the revisions from the view again.
		d.log.Info("register members failed; trying again", "members", len(writes), "cause", err.Error())
		return platform.Position{}
	}
	d.log.Info("members registered", "members", len(writes))
	return position
}

// Commit writes and removes keys if all conditions hold. After a restore of the store a
// condition may hold for another item than the one that was read; then the view is read
// anew, and what is missing in it is written again.
func (d *Directory) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write, removes []string) (platform.Position, error) {
	position, err := d.store.Commit(ctx, conditions, writes, removes)
	d.recordResult(err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordEra(position.Era)
	if position.Era > d.applied.Era {
		d.requestResync()
	}
	return position, err
}

// RemoveMember removes the entry of a member that no longer runs.
func (d *Directory) RemoveMember(ctx context.Context, m catalog.Member) {
	key := d.layout.MemberKey(m.Name)
	_, err := d.Commit(ctx, []platform.Condition{{Key: key, Revision: m.Revision}}, nil, []string{key})
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
	if _, err := d.Commit(ctx, []platform.Condition{condition}, []platform.Write{{Key: key, Value: value}}, nil); err != nil {
		return fmt.Errorf("write status of %s: %w", service, err)
	}
	return nil
}
