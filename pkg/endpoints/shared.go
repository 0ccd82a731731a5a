package endpoints

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

const (
	// reportFallback is the age of an endpoint's report, per position in the order of pollers, from which an instance
	// polls the endpoint itself. In regular operation at the design size a report is up to 6.8 s old: a poll interval of
	// 3.5 s, an update of the exchange each 1 s, and an exchange interval of 2.25 s.
	reportFallback = 8 * time.Second
	// sharedFor is how long after an own poll a report is passed on.
	sharedFor = 2 * reportFallback
	// remoteFallback is the age of the report of another data centre's endpoint from which an instance with calls there
	// polls it.
	remoteFallback = 30 * time.Second
	// meshPeers is the number of instances from which the traffic of the exchange no longer grows; meshPollsPerSecond is
	// the poll budget that it leaves of 22 KB/s. A poll takes 1.4 kB with five artifacts, the exchange 15 kB/s.
	meshPeers          = 12
	meshPollsPerSecond = 4
	// directInterval is the longest interval at which each instance polls all endpoints itself. Fleets of up to this
	// times PollsPerSecond need no shared reports, and instances there do not depend on each other.
	directInterval = time.Second
)

// SharedReport is a load report as instances pass it on.
type SharedReport struct {
	EndpointHash uint64
	Report       engine.Report
	// PolledAt is when the endpoint gave the report.
	PolledAt time.Time
	// Failed is true while the source gets no reports; Report is then the last one, or empty.
	Failed bool
}

// candidate is another live instance of the own data centre, which polls endpoints too.
type candidate struct {
	id   string
	hash uint64
}

// SetInstances replaces the set of other live instances of the own data centre, among which the polls are divided.
func (r *Registry) SetInstances(ids []string) {
	candidates := make([]candidate, 0, len(ids))
	for _, id := range ids {
		candidates = append(candidates, candidate{id: id, hash: xxhash.Sum64String(id)})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidates = candidates
}

// rank orders instances as pollers of an endpoint; the lowest comes first.
func rank(endpoint, instance uint64) uint64 {
	// The finalizer of splitmix64 spreads the difference of one bit over all.
	x := endpoint ^ instance
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// shares tells whether the fleet is so large that instances poll only a part of it.
func (r *Registry) shares() bool {
	direct := int(r.options.PollsPerSecond * directInterval.Seconds())
	return r.options.DataCentre != "" && len(r.entries) > direct
}

// pollBudget is the number of polls per second that leaves room for the exchange. The caller holds the lock.
func (r *Registry) pollBudget() float64 {
	if !r.shares() {
		return r.options.PollsPerSecond
	}
	exchange := float64(min(len(r.candidates), meshPeers)) / meshPeers
	return r.options.PollsPerSecond - exchange*max(0, r.options.PollsPerSecond-meshPollsPerSecond)
}

// position counts the instances that poll the endpoint before this one. Those that get no reports of it do not count, so
// that a poller that is cut off from the endpoint is replaced by the next.
func (r *Registry) position(e *entry) int {
	own := rank(e.hash, r.self)
	before := 0
	for _, c := range r.candidates {
		if rank(e.hash, c.hash) >= own {
			continue
		}
		if p := r.peers[c.id]; p != nil && p.failed[e.hash] {
			continue
		}
		before++
	}
	return before
}

// fallbackAge is the age of the report from which this instance polls the endpoint; zero when it is the endpoint's
// poller.
func (r *Registry) fallbackAge(e *entry) time.Duration {
	if e.declared.DataCentre == r.options.DataCentre {
		return time.Duration(r.position(e)) * reportFallback
	}
	if e.own > 0 {
		return remoteFallback
	}
	return never
}

// never is an age that no report reaches.
const never = time.Duration(1<<63 - 1)

// LocalReports returns the reports of this instance's own polls that others use.
func (r *Registry) LocalReports() []SharedReport {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.shares() {
		return nil
	}
	var reports []SharedReport
	for _, e := range r.byHash {
		if e.declared.DataCentre != r.options.DataCentre || e.triedAt.IsZero() || time.Since(e.triedAt) > sharedFor {
			continue
		}
		failed := e.outlier.failedPolls >= failedPollsToEject
		if !failed && !e.ownReport {
			continue
		}
		shared := SharedReport{EndpointHash: e.hash, PolledAt: e.reportedAt, Failed: failed}
		if e.report != nil {
			shared.Report = *e.report
		}
		reports = append(reports, shared)
	}
	return reports
}

// SetReports takes over the reports of a peer that are newer than the known ones. They are all reports that the peer
// passes on; those that it no longer names are dropped from its failures.
func (r *Registry) SetReports(peerID string, reports []SharedReport) {
	failed := make(map[uint64]bool)
	replaced := make(map[string]string)
	r.mu.Lock()
	for i := range reports {
		e := r.byHash[reports[i].EndpointHash]
		switch {
		case e == nil:
		case reports[i].Failed:
			failed[e.hash] = true
		case reports[i].PolledAt.After(e.reportedAt):
			if r.acceptShared(e, &reports[i]) && !e.plain {
				replaced[e.declared.Name] = reports[i].Report.Incarnation
			}
		}
	}
	r.peer(peerID).failed = failed
	for hash := range failed {
		r.judgeFailed(r.byHash[hash])
	}
	r.mu.Unlock()
	for name, incarnation := range replaced {
		r.noteIncarnation(name, incarnation)
	}
	r.changed()
}

// acceptShared takes over a peer's report and tells whether it is of another incarnation than the last one. The caller
// holds the lock.
func (r *Registry) acceptShared(e *entry, shared *SharedReport) bool {
	report := shared.Report
	replaced := e.report == nil || e.report.Incarnation != report.Incarnation
	r.takeOver(e, &report, shared.PolledAt)
	if e.outlier.failedPolls < failedPollsToEject {
		// Own polls that fail count more: calls of this instance would fail too.
		e.outlier.unreachable = false
	}
	e.ownReport = false
	return replaced
}

// noteIncarnation voids what is known of the cache of a replaced process, whose events are not read here.
func (r *Registry) noteIncarnation(name, incarnation string) {
	if r.events != nil {
		r.events.Apply(name, incarnation, nil)
	}
}

// judgeFailed ejects an endpoint of which several instances get no reports: their failed polls count like failed polls
// of this instance. A report of any instance within the fallback age shows that the endpoint is alive.
func (r *Registry) judgeFailed(e *entry) {
	if e.outlier.unreachable || time.Since(e.reportedAt) <= reportFallback {
		return
	}
	failures := 0
	for _, p := range r.peers {
		if p.failed[e.hash] {
			failures++
		}
	}
	if failures >= failedPollsToEject {
		r.ejectUnreachable(e)
	}
}

// sameArtifacts tells whether the index of loaded artifacts is the same for both reports.
func sameArtifacts(a, b *engine.Report) bool {
	return a != nil && b != nil && slices.EqualFunc(a.Artifacts, b.Artifacts, func(x, y engine.LoadedArtifact) bool {
		return x.Artifact == y.Artifact && x.State == y.State
	})
}
