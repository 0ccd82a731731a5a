package peer

import (
	"math"
	"slices"
	"time"

	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
)

// ReportLoad is the part of an endpoint's load report that changes frequently.
type ReportLoad struct {
	Running, Waiting       uint32
	KVCacheThousandths     uint32
	PrefillTokensPerSecond uint32
	DecodeTokensPerSecond  uint32
	Leaving                bool
	// Failed is true while the source receives no reports from the endpoint. The other values are from the last report.
	Failed bool
}

// ArtifactKind distinguishes models and adapters.
type ArtifactKind int32

// Kinds of artifacts. Their values are those of the protocol.
const (
	ModelArtifact   = ArtifactKind(peerv1.ArtifactKind_ARTIFACT_KIND_MODEL)
	AdapterArtifact = ArtifactKind(peerv1.ArtifactKind_ARTIFACT_KIND_ADAPTER)
)

// ArtifactState is the state of an artifact as the endpoint reports it.
type ArtifactState int32

// States of artifacts. Their values are those of the protocol.
const (
	Loading   = ArtifactState(peerv1.ArtifactState_ARTIFACT_STATE_LOADING)
	Loaded    = ArtifactState(peerv1.ArtifactState_ARTIFACT_STATE_LOADED)
	Unloading = ArtifactState(peerv1.ArtifactState_ARTIFACT_STATE_UNLOADING)
)

// Artifact is a model or an adapter in the memory of an endpoint.
type Artifact struct {
	Kind    ArtifactKind
	Name    string
	Version string
	State   ArtifactState
}

// Inventory is the part of an endpoint's load report that changes rarely. It is immutable.
type Inventory struct {
	Incarnation string
	Role        string
	MaxRunning  uint32
	Artifacts   []Artifact
}

func (i *Inventory) equal(other *Inventory) bool {
	if i == other {
		return true
	}
	if i == nil || other == nil {
		return false
	}
	return i.Incarnation == other.Incarnation && i.Role == other.Role && i.MaxRunning == other.MaxRunning &&
		slices.Equal(i.Artifacts, other.Artifacts)
}

// EndpointReport is the last load report of an endpoint. Inventory is nil until one is known.
type EndpointReport struct {
	Load      ReportLoad
	Inventory *Inventory
	// PolledAt is when the endpoint was polled, by the clock of this instance.
	PolledAt time.Time
}

// reportEntry is a report in a versionedMap. present distinguishes an idle endpoint, whose load is all zero, from a
// removed one.
type reportEntry struct {
	ReportLoad
	present bool
}

// tolerance is the deviation from the last sent value up to which a value is not sent again.
type tolerance struct {
	// relative is a fraction of the sent value. minRequests is the tolerated absolute difference of a number of requests.
	relative    float64
	minRequests float64
}

var (
	// dataCentreTolerance allows numbers of requests to deviate by one eighth, since requests start and end all the
	// time.
	dataCentreTolerance = tolerance{relative: 0.125, minRequests: 1}
	// interDataCentreTolerance is coarse, since the report of an endpoint is sent to every instance of the other data
	// centre.
	interDataCentreTolerance = tolerance{relative: 0.5, minRequests: 4}
)

const (
	// kvCacheToleranceThousandths and rateToleranceTokensPerSecond are the tolerated absolute differences of the KV cache
	// usage and of token rates.
	kvCacheToleranceThousandths  = 50
	rateToleranceTokensPerSecond = 100
	// rateRelativeTolerance is the tolerated relative difference of token rates.
	rateRelativeTolerance = 0.25
)

// allows reports whether receivers may keep using the sent value. Leaving, Failed and whether requests wait must be
// exact.
func (t tolerance) allows(sent, current ReportLoad) bool {
	if sent.Leaving != current.Leaving || sent.Failed != current.Failed || (sent.Waiting == 0) != (current.Waiting == 0) {
		return false
	}
	return withinTolerance(sent.Running, current.Running, t.relative, t.minRequests) &&
		withinTolerance(sent.Waiting, current.Waiting, t.relative, t.minRequests) &&
		withinTolerance(sent.KVCacheThousandths, current.KVCacheThousandths, t.relative, kvCacheToleranceThousandths) &&
		withinTolerance(sent.PrefillTokensPerSecond, current.PrefillTokensPerSecond,
			max(t.relative, rateRelativeTolerance), rateToleranceTokensPerSecond) &&
		withinTolerance(sent.DecodeTokensPerSecond, current.DecodeTokensPerSecond,
			max(t.relative, rateRelativeTolerance), rateToleranceTokensPerSecond)
}

// withinTolerance reports whether the difference is at most absolute or the relative fraction of the sent value.
func withinTolerance(sent, current uint32, relative, absolute float64) bool {
	return math.Abs(float64(sent)-float64(current)) <= max(absolute, relative*float64(sent))
}

// reportEntries returns the entries for e.reports. It keeps the last sent load if the current one is within the
// tolerance.
func (e *deltaEncoder) reportEntries(reports map[uint64]EndpointReport) map[uint64]reportEntry {
	loads := make(map[uint64]reportEntry, len(reports))
	for hash, r := range reports {
		sent := e.reports.entries[hash].value
		if sent.present && e.tolerance != nil && e.tolerance.allows(sent.ReportLoad, r.Load) {
			loads[hash] = sent
			continue
		}
		loads[hash] = reportEntry{ReportLoad: r.Load, present: true}
	}
	return loads
}

// currentInventories returns the entries for e.inventories, which compares pointers. An equal inventory keeps its
// previous pointer.
func (e *deltaEncoder) currentInventories(reports map[uint64]EndpointReport) map[uint64]*Inventory {
	found := make(map[uint64]*Inventory, len(reports))
	for hash, r := range reports {
		old := e.inventories.entries[hash].value
		switch {
		case r.Inventory == nil:
		case old.equal(r.Inventory):
			found[hash] = old
		default:
			found[hash] = r.Inventory
		}
	}
	return found
}

// addReports adds to the message the reports and inventories that changed, and the age of the oldest unchanged report.
func (e *deltaEncoder) addReports(m *peerv1.LoadState, since uint64, now time.Time) {
	listed := e.reports.since(since)
	for hash, load := range listed {
		m.Reports = append(m.Reports, load.toProto(hash, now.Sub(e.polledAt[hash])))
	}
	for hash, inventory := range e.inventories.since(since) {
		if inventory != nil {
			m.Inventories = append(m.Inventories, inventory.toProto(hash))
		}
	}
	for hash, at := range e.polledAt {
		if _, changed := listed[hash]; changed || e.reports.entries[hash].value.Failed {
			continue
		}
		m.UnchangedAgeMs = max(m.UnchangedAgeMs, clampMs(now.Sub(at)))
	}
}

func (l reportEntry) toProto(hash uint64, age time.Duration) *peerv1.EndpointReport {
	if !l.present {
		return &peerv1.EndpointReport{EndpointHash: hash, Removed: true}
	}
	return &peerv1.EndpointReport{
		EndpointHash:           hash,
		AgeMs:                  clampMs(age),
		Running:                l.Running,
		Waiting:                l.Waiting,
		KvCacheThousandths:     l.KVCacheThousandths,
		PrefillTokensPerSecond: l.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  l.DecodeTokensPerSecond,
		Leaving:                l.Leaving,
		Failed:                 l.Failed,
	}
}

func (i *Inventory) toProto(hash uint64) *peerv1.EndpointInventory {
	p := &peerv1.EndpointInventory{
		EndpointHash: hash,
		Incarnation:  i.Incarnation,
		Role:         i.Role,
		MaxRunning:   i.MaxRunning,
	}
	for _, a := range i.Artifacts {
		p.Artifacts = append(p.Artifacts, &peerv1.Artifact{
			Kind:    peerv1.ArtifactKind(a.Kind),
			Name:    a.Name,
			Version: a.Version,
			State:   peerv1.ArtifactState(a.State),
		})
	}
	return p
}

func inventoryFromProto(p *peerv1.EndpointInventory) *Inventory {
	i := &Inventory{Incarnation: p.GetIncarnation(), Role: p.GetRole(), MaxRunning: p.GetMaxRunning()}
	for _, a := range p.GetArtifacts() {
		i.Artifacts = append(i.Artifacts, Artifact{
			Kind:    ArtifactKind(a.GetKind()),
			Name:    a.GetName(),
			Version: a.GetVersion(),
			State:   ArtifactState(a.GetState()),
		})
	}
	return i
}

// mergeReports applies the reports and inventories of a message.
func (s *remoteSource) mergeReports(m *peerv1.LoadState, now time.Time) {
	listed := make(map[uint64]bool, len(m.GetReports()))
	for _, p := range m.GetReports() {
		hash := p.GetEndpointHash()
		if p.GetRemoved() {
			delete(s.load.Reports, hash)
			continue
		}
		listed[hash] = true
		s.load.Reports[hash] = EndpointReport{
			Load: ReportLoad{
				Running:                p.GetRunning(),
				Waiting:                p.GetWaiting(),
				KVCacheThousandths:     p.GetKvCacheThousandths(),
				PrefillTokensPerSecond: p.GetPrefillTokensPerSecond(),
				DecodeTokensPerSecond:  p.GetDecodeTokensPerSecond(),
				Leaving:                p.GetLeaving(),
				Failed:                 p.GetFailed(),
			},
			Inventory: s.load.Reports[hash].Inventory,
			PolledAt:  now.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond),
		}
	}
	for _, p := range m.GetInventories() {
		r, present := s.load.Reports[p.GetEndpointHash()]
		if !present {
			continue
		}
		r.Inventory = inventoryFromProto(p)
		s.load.Reports[p.GetEndpointHash()] = r
	}
	s.refreshUnchanged(listed, now.Add(-time.Duration(m.GetUnchangedAgeMs())*time.Millisecond))
}

// refreshUnchanged advances the poll time of the reports that the message did not list to polledAt, the time of the
// oldest poll among the unchanged reports.
func (s *remoteSource) refreshUnchanged(listed map[uint64]bool, polledAt time.Time) {
	for hash, r := range s.load.Reports {
		if listed[hash] || r.Load.Failed || !polledAt.After(r.PolledAt) {
			continue
		}
		r.PolledAt = polledAt
		s.load.Reports[hash] = r
	}
}

// polledTimes returns the poll time of each report. The times are kept apart from the versioned entries, since a new
// poll time alone must not cause a report to be sent again.
func polledTimes(reports map[uint64]EndpointReport) map[uint64]time.Time {
	times := make(map[uint64]time.Time, len(reports))
	for hash, r := range reports {
		times[hash] = r.PolledAt
	}
	return times
}

// addReport keeps the newer of two reports of an endpoint. A failed report does not replace one that did not fail.
func (l Load) addReport(hash uint64, r EndpointReport) {
	old, present := l.Reports[hash]
	if !present || isNewer(r, old) {
		l.Reports[hash] = r
	}
}

func isNewer(a, b EndpointReport) bool {
	if a.Load.Failed != b.Load.Failed {
		return b.Load.Failed
	}
	return a.PolledAt.After(b.PolledAt)
}
