package peer

import (
	"math"
	"slices"
	"time"

	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
)

// ReportLoad is the part of an endpoint's load report that changes all the time.
type ReportLoad struct {
	Running, Waiting       uint32
	KVCacheThousandths     uint32
	PrefillTokensPerSecond uint32
	DecodeTokensPerSecond  uint32
	Leaving                bool
	// Failed is true while the source gets no reports of the endpoint; the other values are those of the last one.
	Failed bool
}

// ArtifactKind tells models from adapters.
type ArtifactKind int32

// Kinds of artifacts, with their message values.
const (
	ModelArtifact   = ArtifactKind(peerv1.ArtifactKind_ARTIFACT_KIND_MODEL)
	AdapterArtifact = ArtifactKind(peerv1.ArtifactKind_ARTIFACT_KIND_ADAPTER)
)

// ArtifactState is the state of an artifact as the endpoint reports it.
type ArtifactState int32

// States of artifacts, with their message values.
const (
	Loading   = ArtifactState(peerv1.ArtifactState_ARTIFACT_STATE_LOADING)
	Loaded    = ArtifactState(peerv1.ArtifactState_ARTIFACT_STATE_LOADED)
	Unloading = ArtifactState(peerv1.ArtifactState_ARTIFACT_STATE_UNLOADING)
)

// Artifact is something that an endpoint holds in memory.
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

// EndpointReport is the last load report of an endpoint. Inventory is nil before the first one.
type EndpointReport struct {
	Load      ReportLoad
	Inventory *Inventory
	// PolledAt is when the endpoint gave the report, by the clock of this instance.
	PolledAt time.Time
}

// presentLoad marks entries of the journal that are not removed; an idle endpoint's load is all zero.
type presentLoad struct {
	ReportLoad
	present bool
}

// tolerance is how far a value may be from the one that receivers hold without being sent again.
type tolerance struct {
	// part is relative to the held value; requests is the least absolute difference of a count of requests.
	part     float64
	requests float64
}

var (
	// withinDataCentre keeps counts of calls within one part in eight, since calls start and end all the time.
	withinDataCentre = tolerance{part: 0.125, requests: 1}
	// betweenDataCentres is coarse, since the report of an endpoint there is sent to every instance here.
	betweenDataCentres = tolerance{part: 0.5, requests: 4}
)

const (
	// leastThousandths and leastRate are differences of the KV cache and of token rates that do not matter.
	leastThousandths = 50
	leastRate        = 100
	// ratePart is the relative difference of token rates that does not matter.
	ratePart = 0.25
)

// near tells whether receivers may go on with the held value. Whether requests wait is always exact.
func (t tolerance) near(held, now ReportLoad) bool {
	if held.Leaving != now.Leaving || held.Failed != now.Failed || (held.Waiting == 0) != (now.Waiting == 0) {
		return false
	}
	return within(held.Running, now.Running, t.part, t.requests) &&
		within(held.Waiting, now.Waiting, t.part, t.requests) &&
		within(held.KVCacheThousandths, now.KVCacheThousandths, t.part, leastThousandths) &&
		within(held.PrefillTokensPerSecond, now.PrefillTokensPerSecond, max(t.part, ratePart), leastRate) &&
		within(held.DecodeTokensPerSecond, now.DecodeTokensPerSecond, max(t.part, ratePart), leastRate)
}

func within(held, now uint32, part, least float64) bool {
	return math.Abs(float64(held)-float64(now)) <= max(least, part*float64(held))
}

// presentLoads returns the loads for the journal; one that is near the held one is kept.
func (e *emitter) presentLoads(reports map[uint64]EndpointReport) map[uint64]presentLoad {
	loads := make(map[uint64]presentLoad, len(reports))
	for hash, r := range reports {
		held := e.reports.entries[hash].value
		if held.present && e.tolerance != nil && e.tolerance.near(held.ReportLoad, r.Load) {
			loads[hash] = held
			continue
		}
		loads[hash] = presentLoad{ReportLoad: r.Load, present: true}
	}
	return loads
}

// currentInventories returns the inventories for the journal, which compares pointers: an equal one keeps its pointer.
func (e *emitter) currentInventories(reports map[uint64]EndpointReport) map[uint64]*Inventory {
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

// addReports puts the reports that changed into the message, and the age of the others.
func (e *emitter) addReports(m *peerv1.LoadState, since uint64, now time.Time) {
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

func (l presentLoad) toProto(hash uint64, age time.Duration) *peerv1.EndpointReport {
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

// mergeReports takes the reports of a message.
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
	s.renewUnchanged(listed, now.Add(-time.Duration(m.GetUnchangedAgeMs())*time.Millisecond))
}

// renewUnchanged moves the time of the reports that the message did not list forward to the oldest poll of them.
func (s *remoteSource) renewUnchanged(listed map[uint64]bool, polledAt time.Time) {
	for hash, r := range s.load.Reports {
		if listed[hash] || r.Load.Failed || !polledAt.After(r.PolledAt) {
			continue
		}
		r.PolledAt = polledAt
		s.load.Reports[hash] = r
	}
}

// polledTimes is kept beside the journal, since a report whose values are the same is not sent again for its time.
func polledTimes(reports map[uint64]EndpointReport) map[uint64]time.Time {
	times := make(map[uint64]time.Time, len(reports))
	for hash, r := range reports {
		times[hash] = r.PolledAt
	}
	return times
}

// addReport keeps the newer of two reports of an endpoint; one that failed does not replace one that did not.
func (l Load) addReport(hash uint64, r EndpointReport) {
	old, present := l.Reports[hash]
	if !present || newer(r, old) {
		l.Reports[hash] = r
	}
}

func newer(a, b EndpointReport) bool {
	if a.Load.Failed != b.Load.Failed {
		return b.Load.Failed
	}
	return a.PolledAt.After(b.PolledAt)
}
