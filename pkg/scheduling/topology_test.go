package scheduling_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// Guards against calls that exceed the rate of the region link, and against calls that delay control traffic.
func TestLinkBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		budget := scheduling.NewLinkBudget(8000) // 1000 bytes per second, of which 200 are kept for control traffic
		g.Expect(budget.CanSend(800)).To(BeTrue())
		g.Expect(budget.CanSend(1_000_000)).To(BeTrue(), "a call larger than the burst is sent when the bucket is full")
		budget.Consume(800)
		g.Expect(budget.CanSend(1)).To(BeFalse())
		budget.ConsumeControl(200)
		time.Sleep(200 * time.Millisecond)
		g.Expect(budget.CanSend(1)).To(BeFalse(), "the bytes of the control traffic must be refilled first")
		time.Sleep(500 * time.Millisecond)
		g.Expect(budget.CanSend(500)).To(BeTrue())
		g.Expect(budget.CanSend(501)).To(BeFalse())

		sentBytes := 0
		for range 1000 {
			if budget.CanSend(100) {
				budget.Consume(100)
				sentBytes += 100
			}
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(sentBytes).To(BeNumerically("<=", 10*1000+800))
		g.Expect(sentBytes).To(BeNumerically(">=", 9*1000))
	})
}

// Guards against charging calls within the region, and against keeping the full charge of a short response.
func TestLinkIsChargedForOtherRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		records := config.Records{DataCentres: []config.DataCentre{
			{Header: config.Header{Name: "a"}, Region: "near"},
			{Header: config.Header{Name: "b"}, Region: "near"},
			{Header: config.Header{Name: "c"}, Region: "far"},
		}}
		topology := scheduling.NewSnapshotTopology("a")
		g.Expect(topology.Distance("b")).To(Equal(scheduling.OtherRegion), "no snapshot was applied yet")
		topology.Apply(config.NewSnapshot(1, time.Time{}, records))
		budget := scheduling.NewLinkBudget(8000)
		link := &scheduling.Link{Topology: topology, Budget: budget}
		request := scheduling.Request{Bytes: 100, OutputTokens: 3}
		for dataCentre, charged := range map[string]int{"a": 0, "b": 0, "c": 600, "unknown": 600} {
			state := servingState(func(s *endpoints.State) { s.Endpoint.DataCentre = dataCentre })
			g.Expect(link.Charge(&request, &state)).To(Equal(charged), dataCentre)
			link.Settle(charged, &request, 0)
		}
		g.Expect(budget.CanSend(600)).To(BeTrue())
		g.Expect(budget.CanSend(601)).To(BeFalse(), "two calls took 100 bytes each")
	})
}
