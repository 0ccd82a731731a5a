package daemon

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/demand"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/peer"
)

// BenchmarkSetLoad measures how long an instance in a deployment of the design size takes to apply the load of another
// source, by the number of reports in it: 14 from an instance, about 400 from another data centre.
func BenchmarkSetLoad(b *testing.B) {
	for _, size := range []int{14, 100, 400} {
		b.Run(fmt.Sprintf("reports=%d", size), func(b *testing.B) {
			records := config.Records{Services: []config.Service{{Header: config.Header{Name: "s"}, Type: config.EngineService}}}
			for i := range 5500 {
				records.Endpoints = append(records.Endpoints, config.Endpoint{
					Header: config.Header{Name: fmt.Sprint("e", i)}, Service: "s", DataCentre: "x", MaxConcurrentRequests: 32,
				})
			}
			options := endpoints.Options{Instance: "self", DataCentre: "x"}
			registry := endpoints.NewRegistry(nil, nil, zap.NewNop(), options)
			registry.Apply(config.NewSnapshot(1, time.Time{}, records))
			x := newPeerExchange(registry, fairshare.NewAccountant(fairshare.DefaultWeights()), demand.NewTracker(), nil)
			load := peer.Load{Members: make(map[string]peer.MemberUsage), Reports: make(map[uint64]peer.EndpointReport)}
			for i := range 20 {
				load.Members[fmt.Sprint("member-", i)] = peer.MemberUsage{Service: 1}
			}
			inventory := &peer.Inventory{Incarnation: "1", MaxRunning: 32}
			for i := range 5 {
				inventory.Artifacts = append(inventory.Artifacts, peer.Artifact{
					Kind: peer.ModelArtifact, Name: fmt.Sprint("model-", i), Version: "3", State: peer.Loaded,
				})
			}
			polledAt := time.Now()
			for b.Loop() {
				polledAt = polledAt.Add(time.Millisecond)
				for i := range size {
					load.Reports[endpoints.HashName(fmt.Sprint("e", i))] = peer.EndpointReport{Inventory: inventory, PolledAt: polledAt}
				}
				x.SetLoad("p", load)
			}
		})
	}
}
