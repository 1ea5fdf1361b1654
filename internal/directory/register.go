package directory

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/platform"
	"github.com/zinniaquay/zinniaquay/internal/wait"
)

// Times of a process's registration.
const (
	// leaseTTL is how long a member's item outlives its last renewal.
	leaseTTL = 6 * time.Second
	// renewEvery leaves two more tries before the lease ends.
	renewEvery = 2 * time.Second
	// endTimeout bounds the call that removes the item at a planned stop.
	endTimeout = 300 * time.Millisecond
)

// Register keeps the process's own item in the store until the context ends,
// and then removes it.
func (d *Directory) Register(ctx context.Context, self catalog.Member) {
	var lease int64
	for {
		var err error
		if lease == 0 {
			lease, err = d.join(ctx, self)
		} else if err = d.store.Renew(ctx, lease); errors.Is(err, platform.ErrLeaseEnded) {
			d.log.Info("lease ended", "lease", lease)
			lease = 0
			d.note(nil)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		d.note(err)
		pause := renewEvery
		if err != nil && lease == 0 {
			pause = retryPause
		}
		if !wait.For(ctx, pause) {
			break
		}
	}
	d.leave(lease)
}

// join writes the process's item under a new lease.
func (d *Directory) join(ctx context.Context, self catalog.Member) (int64, error) {
	value, err := d.decoder.EncodeMember(self)
	if err != nil {
		return 0, err
	}
	lease, err := d.store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	write := platform.Write{Key: d.layout.Member(self.Name), Value: value, LeaseID: lease}
	if _, err := d.store.Commit(ctx, nil, []platform.Write{write}, nil); err != nil {
		return 0, fmt.Errorf("write member: %w", err)
	}
	return lease, nil
}

func (d *Directory) leave(lease int64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := d.store.End(ctx, lease); err != nil {
		d.log.Info("lease left to end by itself", "lease", lease, "cause", err.Error())
	}
}

// WriteStatus tells the operator of a service's move, unless the status was
// written by another process since the view. Its error is ErrConflict then.
func (d *Directory) WriteStatus(ctx context.Context, service, to string, state catalog.MoveState) error {
	value, err := d.decoder.EncodeStatus(service, to, state)
	if err != nil {
		return err
	}
	key := d.layout.Status(service)
	condition := platform.Condition{Key: key, Revision: d.View().Statuses[service].Revision}
	_, err = d.store.Commit(ctx, []platform.Condition{condition}, []platform.Write{{Key: key, Value: value}}, nil)
	d.note(err)
	if err != nil {
		return fmt.Errorf("write status of %s: %w", service, err)
	}
	return nil
}
