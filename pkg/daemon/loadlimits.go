package daemon

import (
	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// loadLimits is one lease holder's fraction of the weight store's limits. Each data centre has one holder per placement
// shard. The holders of different data centres do not communicate, so each uses an equal fraction.
type loadLimits struct {
	modelsPerSecond    float64
	concurrentModels   int
	concurrentAdapters int
}

func loadLimitsOf(snapshot *config.Snapshot) loadLimits {
	d := snapshot.Deployment()
	holders := max(1, len(engineDataCentres(snapshot))*max(1, d.PlacementShards))
	return loadLimits{
		modelsPerSecond:    d.ModelLoadsPerSecond / float64(holders),
		concurrentModels:   max(1, d.ConcurrentModelLoads/holders),
		concurrentAdapters: max(1, d.ConcurrentAdapterLoads/holders),
	}
}

// engineDataCentres returns the data centres that have engine endpoints.
func engineDataCentres(snapshot *config.Snapshot) map[string]bool {
	found := make(map[string]bool)
	for _, e := range snapshot.Records().Endpoints {
		if len(e.Accelerators) > 0 {
			found[e.DataCentre] = true
		}
	}
	return found
}
