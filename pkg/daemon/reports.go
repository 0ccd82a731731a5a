package daemon

import (
	"math"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/peer"
)

// thousand is the resolution of fractions in the exchange.
const thousand = 1000

// artifactKinds and artifactStates pair the values of engine reports with those of the exchange.
var (
	artifactKinds = map[engine.ArtifactKind]peer.ArtifactKind{
		engine.KindModel:   peer.ModelArtifact,
		engine.KindAdapter: peer.AdapterArtifact,
	}
	artifactStates = map[engine.ArtifactState]peer.ArtifactState{
		engine.StateLoading:   peer.Loading,
		engine.StateLoaded:    peer.Loaded,
		engine.StateUnloading: peer.Unloading,
	}
	kindsFromPeer  = inverse(artifactKinds)
	statesFromPeer = inverse(artifactStates)
)

func inverse[K, V comparable](m map[K]V) map[V]K {
	inverted := make(map[V]K, len(m))
	for k, v := range m {
		inverted[v] = k
	}
	return inverted
}

// reportToPeer leaves out what only the holder of a placement lease uses, which reads reports on its order sessions.
func reportToPeer(r endpoints.SharedReport) peer.EndpointReport {
	inventory := &peer.Inventory{
		Incarnation: r.Report.Incarnation,
		Role:        r.Report.Role,
		MaxRunning:  count(r.Report.MaxRunning),
	}
	for _, a := range r.Report.Artifacts {
		inventory.Artifacts = append(inventory.Artifacts, peer.Artifact{
			Kind:    artifactKinds[a.Kind],
			Name:    a.Name,
			Version: a.Version,
			State:   artifactStates[a.State],
		})
	}
	return peer.EndpointReport{
		PolledAt:  r.PolledAt,
		Inventory: inventory,
		Load: peer.ReportLoad{
			Running:                count(r.Report.Running),
			Waiting:                count(r.Report.Waiting),
			KVCacheThousandths:     rounded(r.Report.KVCacheUsage * thousand),
			PrefillTokensPerSecond: rounded(r.Report.PrefillTokensPerSecond),
			DecodeTokensPerSecond:  rounded(r.Report.DecodeTokensPerSecond),
			Leaving:                r.Report.Leaving,
			Failed:                 r.Failed,
		},
	}
}

// count converts a number that an engine reported, which may be out of range.
func count(n int) uint32 {
	return rounded(float64(n))
}

func rounded(x float64) uint32 {
	if !(x > 0) {
		return 0
	}
	return uint32(math.Round(min(x, math.MaxUint32)))
}

func sharedReports(load peer.Load) []endpoints.SharedReport {
	reports := make([]endpoints.SharedReport, 0, len(load.Reports))
	for hash, r := range load.Reports {
		reports = append(reports, reportFromPeer(hash, r))
	}
	return reports
}

// reportFromPeer treats a report without inventory as failed: it comes from a source that got none.
func reportFromPeer(hash uint64, r peer.EndpointReport) endpoints.SharedReport {
	shared := endpoints.SharedReport{EndpointHash: hash, PolledAt: r.PolledAt, Failed: r.Load.Failed || r.Inventory == nil}
	if r.Inventory == nil {
		return shared
	}
	shared.Report = engine.Report{
		Incarnation:            r.Inventory.Incarnation,
		Running:                int(r.Load.Running),
		Waiting:                int(r.Load.Waiting),
		MaxRunning:             int(r.Inventory.MaxRunning),
		KVCacheUsage:           float64(r.Load.KVCacheThousandths) / thousand,
		PrefillTokensPerSecond: float64(r.Load.PrefillTokensPerSecond),
		DecodeTokensPerSecond:  float64(r.Load.DecodeTokensPerSecond),
		Leaving:                r.Load.Leaving,
		Role:                   r.Inventory.Role,
	}
	for _, a := range r.Inventory.Artifacts {
		shared.Report.Artifacts = append(shared.Report.Artifacts, engine.LoadedArtifact{
			Artifact: engine.Artifact{Kind: kindsFromPeer[a.Kind], Name: a.Name, Version: a.Version},
			State:    statesFromPeer[a.State],
		})
	}
	return shared
}
