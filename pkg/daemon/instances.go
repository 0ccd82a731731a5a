package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/instancelist"
	"github.com/mulberryglade/mulberryglade/pkg/peer"
)

const (
	// instanceListInterval leaves two polls for the 3 s in which a leaving endpoint must stop receiving calls.
	instanceListInterval = 1500 * time.Millisecond
	instanceListTimeout  = time.Second
)

// followInstances takes leaving endpoints and new peers from the instance list. While the list cannot be read, the last
// one stays in use.
func (d *Daemon) followInstances(ctx context.Context) {
	if d.instances == nil {
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, instanceListTimeout)
		list, err := d.instances.List(callCtx)
		cancel()
		switch {
		case err == nil:
			d.applyInstances(list)
		case ctx.Err() == nil:
			d.log.Warn("instance list cannot be read; the last one stays in use", zap.Error(err))
		}
		_ = timing.Sleep(ctx, instanceListInterval)
	}
}

// applyInstances marks leaving endpoints by name and makes entry instances known to the peer exchange. The address of an
// entry instance in the list is its peer address.
func (d *Daemon) applyInstances(list []instancelist.Instance) {
	var leaving []string
	for _, instance := range list {
		switch {
		case instance.Role == instancelist.RoleEndpoint && instance.State == instancelist.StateLeaving:
			leaving = append(leaving, instance.ID)
		case instance.Role == instancelist.RoleEntry && instance.State == instancelist.StateLive:
			d.node.Table.Learned(peer.Identity{
				InstanceID: instance.ID,
				DataCentre: instance.DataCentre,
				Region:     d.regionOf(instance.DataCentre),
				Address:    instance.Address,
			})
		}
	}
	d.registry.SetLeaving(leaving)
}

func (d *Daemon) regionOf(dataCentre string) string {
	if snapshot := d.syncer.Current(); snapshot != nil {
		return snapshot.Region(dataCentre)
	}
	return ""
}
