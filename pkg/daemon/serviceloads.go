package daemon

import (
	"context"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// serviceLoads reads the load of plain services.
type serviceLoads struct {
	reporter engine.Reporter
}

var _ endpoints.LoadReader = serviceLoads{}

// Load implements endpoints.LoadReader.
func (s serviceLoads) Load(ctx context.Context, target engine.Target) (endpoints.ServiceLoad, error) {
	report, err := s.reporter.Report(ctx, target)
	if err != nil {
		return endpoints.ServiceLoad{}, err
	}
	return endpoints.ServiceLoad{
		Running:    report.Running,
		Waiting:    report.Waiting,
		MaxRunning: report.MaxRunning,
		Leaving:    report.Leaving,
	}, nil
}
