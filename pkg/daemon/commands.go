package daemon

import (
	"github.com/mulberryglade/mulberryglade/pkg/admin"
	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
)

// commands carries out the operators' commands on a Daemon.
type commands struct {
	daemon *Daemon
}

var _ admin.Commands = commands{}

// Drain implements admin.Commands.
func (c commands) Drain() adminapi.DrainResponse {
	c.daemon.Stop()
	stats := c.daemon.admission.Stats()
	return adminapi.DrainResponse{
		InstanceID: c.daemon.identity.InstanceID,
		InFlight:   stats.Running,
		Queued:     stats.Waiting,
	}
}

// InstanceID implements admin.Commands.
func (c commands) InstanceID() string {
	return c.daemon.identity.InstanceID
}
