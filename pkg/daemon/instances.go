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
	// instanceListInterval allows two polls within the 3 s after which a leaving endpoint must get no more calls.
	instanceListInterval = 1500 * time.Millisecond
	instanceListTimeout  = time.Second
)

// pollInstanceList reads leaving endpoints and new peers from the instance list every instanceListInterval. While the
// list cannot be read, the last one stays in use.
func (d *Daemon) pollInstanceList(ctx context.Context) {
	if d.instanceListClient == nil {
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, instanceListTimeout)
		list, err := d.instanceListClient.List(callCtx)
		cancel()
		switch {
		case err == nil:
			d.applyInstanceList(list)
		case ctx.Err() == nil:
			d.log.Warn("instance list cannot be read; keeping the previous list", zap.Error(err))
		}
		_ = timing.Sleep(ctx, instanceListInterval)
	}
}

// applyInstanceList marks leaving endpoints by name and adds entry instances to the peer table. In the list, the
// address of an entry instance is its peer address.
func (d *Daemon) applyInstanceList(list []instancelist.Instance) {
	var leaving []string
	for _, instance := range list {
		switch {
		case instance.Role == instancelist.RoleEndpoint && instance.State == instancelist.StateLeaving:
			leaving = append(leaving, instance.ID)
		case instance.Role == instancelist.RoleEntry && instance.State == instancelist.StateLive:
			d.peerNode.Table.RecordMention(peer.Identity{
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
