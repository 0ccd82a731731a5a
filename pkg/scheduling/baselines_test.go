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
	// Guards against a baseline that favours an endpoint: measurements would flatter the default policy.
	It("takes the endpoints of each model in turn", func() {
		states := make([]endpoints.State, 3)
		for i := range states {
			states[i].Endpoint = &config.Endpoint{Header: config.Header{Name: fmt.Sprintf("e-%d", i)}}
		}
		pipeline := scheduling.NewPipeline(nil, nil, scheduling.NewRoundRobinPicker())
		taken := make(map[string]int)
		for range 30 {
			for _, model := range []string{"a", "b"} {
				request := scheduling.Request{Model: model}
				decision, _, blocked := pipeline.Schedule(&request, states)
				Expect(blocked).To(Equal(scheduling.Chosen))
				taken[model+"@"+decision.Chosen]++
			}
		}
		for _, n := range taken {
			Expect(n).To(Equal(10))
		}
		Expect(taken).To(HaveLen(6))
	})
})
