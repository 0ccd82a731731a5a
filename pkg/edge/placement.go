package edge

import (
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/residency"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// newController returns the controller that places models while this instance holds the lease.
func (s *Server) newController() *residency.Controller {
	return residency.NewController(residency.Options{
		Instance: s.settings().InstanceID,
		Fleet:    s.deps.Fleet,
		Lease:    placementLease{s.lease},
		Engines:  s.deps.Engines,
		Demands:  s.demand,
		Config: func() *routing.Config {
			if table := s.table.Load(); table != nil {
				return table.Config
			}
			return nil
		},
		Log:             s.log,
		RegionOf:        func(dataCentre string) string { return s.settings().Regions[dataCentre] },
		HandoverPause:   s.settings().Bounds.placementLease(),
		PreviousHolder:  s.instances.previousHolder,
		OnLeaseAcquired: s.requestWatch,
		StoreWindow: func() (time.Duration, float64) {
			bounds := s.settings().Bounds
			return time.Duration(bounds.WeightStoreWindowSeconds * float64(time.Second)), bounds.WeightStoreOverage
		},
		OnReportRead: func(id string, r residency.Report) {
			s.deps.Fleet.SetModels(id, r.Lifetime, r.Models, time.Now())
		},
		OnLedgerCorrected: func() { s.metrics.ledgerCorrections.Inc(1) },
		OnStatement:       s.recordStatement,
		ModelLeaving: func(id string, lifetime int64, model string) {
			s.deps.Fleet.SetModelLeaving(id, lifetime, model, time.Now())
			s.exchange.SendUpdate()
		},
		AdapterChanged: func(id string, lifetime int64, order residency.Order) {
			s.deps.Fleet.SetAdapter(id, lifetime, order.Model, order.Adapter, order.Verb == residency.Load, time.Now())
			s.exchange.SendUpdate()
		},
	})
}
