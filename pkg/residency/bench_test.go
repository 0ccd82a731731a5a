package residency

import (
	"fmt"
	"testing"
)

// BenchmarkPlan plans for engines that hold three models each. All models have demand, and one needs more copies. The
// sizes are those of the present deployments, of the grown deployments and of the design.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ endpoints, models int }{{9, 17}, {140, 305}, {5500, 1700}} {
		b.Run(fmt.Sprintf("%d endpoints", size.endpoints), func(b *testing.B) {
			engine := testEngine(size.models)
			demand := make(map[string]ModelDemand)
			for i := range size.models {
				demand[fmt.Sprintf("m%02d", i)] = ModelDemand{Load: 0.2, Forecast: 0.2, RequestRate: 1}
			}
			demand["m00"] = ModelDemand{Load: 3, Forecast: 4, RequestRate: 20}
			for b.Loop() {
				in := &Input{Engine: engine, Demand: demand, StoreLoadsAllowed: 5}
				for i := range size.endpoints {
					in.Endpoints = append(in.Endpoints, endpointWith(fmt.Sprintf("e%d", i),
						fmt.Sprintf("m%02d", i%size.models), fmt.Sprintf("m%02d", (i*7+1)%size.models), fmt.Sprintf("m%02d", (i*13+2)%size.models)))
				}
				Plan(in)
			}
		})
	}
}
