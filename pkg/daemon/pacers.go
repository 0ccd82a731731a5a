package daemon

import (
	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// loadLimits is this data centre's part of the weight store's limits. The holders of different data centres do not talk
// to each other, so each keeps to an equal part.
type loadLimits struct {
	modelsPerSecond    float64
	concurrentModels   int
	concurrentAdapters int
}

func limitsOf(snapshot *config.Snapshot) loadLimits {
	d := snapshot.Deployment()
	parts := max(1, len(engineDataCentres(snapshot))*max(1, d.PlacementShards))
	return loadLimits{
		modelsPerSecond:    d.ModelLoadsPerSecond / float64(parts),
		concurrentModels:   max(1, d.ConcurrentModelLoads/parts),
		concurrentAdapters: max(1, d.ConcurrentAdapterLoads/parts),
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
