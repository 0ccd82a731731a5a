package scheduling_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

var _ = Describe("RoundRobinPicker", func() {
	// Guards against a baseline that prefers an endpoint, which would make the default policy look better in
	// measurements.
	It("selects the endpoints of each model in turn", func() {
		states := make([]endpoints.State, 3)
		for i := range states {
			states[i].Endpoint = &config.Endpoint{Header: config.Header{Name: fmt.Sprintf("e-%d", i)}}
		}
		pipeline := scheduling.NewPipeline(nil, nil, scheduling.NewRoundRobinPicker())
		chosen := make(map[string]int)
		for range 30 {
			for _, model := range []string{"a", "b"} {
				request := scheduling.Request{Model: model}
				decision, _, status := pipeline.Schedule(&request, states)
				Expect(status).To(Equal(scheduling.Chosen))
				chosen[model+"@"+decision.Chosen]++
			}
		}
		for _, n := range chosen {
			Expect(n).To(Equal(10))
		}
		Expect(chosen).To(HaveLen(6))
	})
})
