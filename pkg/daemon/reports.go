package daemon

import (
	"math"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/peer"
)

// fractionScale converts a fraction to the thousandths of peer messages.
const fractionScale = 1000

// artifactKinds and artifactStates map the values of engine reports to those of peer messages.
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

// reportToPeer converts a report to a peer message. It omits the fields that only the holder of a placement lease uses:
// the holder reads them from the reports on its order sessions.
func reportToPeer(r endpoints.SharedReport) peer.EndpointReport {
	inventory := &peer.Inventory{
		Incarnation: r.Report.Incarnation,
		Role:        r.Report.Role,
		MaxRunning:  toUint32(r.Report.MaxRunning),
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
			Running:                toUint32(r.Report.Running),
			Waiting:                toUint32(r.Report.Waiting),
			KVCacheThousandths:     roundToUint32(r.Report.KVCacheUsage * fractionScale),
			PrefillTokensPerSecond: roundToUint32(r.Report.PrefillTokensPerSecond),
			DecodeTokensPerSecond:  roundToUint32(r.Report.DecodeTokensPerSecond),
			Leaving:                r.Report.Leaving,
			Failed:                 r.Failed,
		},
	}
}

// toUint32 converts a number from an engine's report, limited to the range of uint32.
func toUint32(n int) uint32 {
	return roundToUint32(float64(n))
}

func roundToUint32(x float64) uint32 {
	if !(x > 0) {
		return 0
	}
	return uint32(math.Round(min(x, math.MaxUint32)))
}

func reportsFromPeer(load peer.Load) []endpoints.SharedReport {
	reports := make([]endpoints.SharedReport, 0, len(load.Reports))
	for hash, r := range load.Reports {
		reports = append(reports, reportFromPeer(hash, r))
	}
	return reports
}

// reportFromPeer converts a peer message to a report. A message without inventory counts as failed, since its source
// has no report.
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
		KVCacheUsage:           float64(r.Load.KVCacheThousandths) / fractionScale,
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
