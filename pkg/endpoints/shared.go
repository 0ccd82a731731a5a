package endpoints

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

const (
	// reportFallbackAge is the report age from which the next instance in the order of pollers polls the endpoint
	// itself. The instance at position n polls from n times this age. In regular operation at the design size a report
	// is up to 6.8 s old: a poll interval of 3.5 s, an update of the exchange every 1 s and an exchange interval of
	// 2.25 s.
	reportFallbackAge = 8 * time.Second
	// maxSharedReportAge is the time after an own poll during which the report is sent to peers.
	maxSharedReportAge = 2 * reportFallbackAge
	// remoteFallbackAge is the report age from which an instance polls an endpoint of another data centre at which it
	// has calls.
	remoteFallbackAge = 30 * time.Second
	// saturatedExchangePeers is the number of instances from which the traffic of the exchange no longer grows.
	// saturatedPollsPerSecond is the poll budget that remains then. The total is limited to 22 KB/s, of which the
	// exchange takes 15 kB/s. A poll takes 1.4 kB with five artifacts.
	saturatedExchangePeers  = 12
	saturatedPollsPerSecond = 4
	// maxDirectPollInterval is the longest interval at which each instance polls all endpoints itself. Fleets of up to
	// maxDirectPollInterval times PollsPerSecond endpoints do not share reports, so their instances do not depend on
	// each other.
	maxDirectPollInterval = time.Second
)

// SharedReport is a load report that an instance sends to its peers.
type SharedReport struct {
	EndpointHash uint64
	Report       engine.Report
	// PolledAt is the time when the report was read from the endpoint.
	PolledAt time.Time
	// Failed reports whether the sender currently cannot read reports. Report is then the last one, or empty.
	Failed bool
}

// peerPoller is another running instance of the own data centre. It polls some of the endpoints.
type peerPoller struct {
	id   string
	hash uint64
}

// SetInstances replaces the set of other running instances of the own data centre, which share the polls.
func (r *Registry) SetInstances(ids []string) {
	peerPollers := make([]peerPoller, 0, len(ids))
	for _, id := range ids {
		peerPollers = append(peerPollers, peerPoller{id: id, hash: xxhash.Sum64String(id)})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerPollers = peerPollers
}

// pollRank returns the rank of an instance as poller of an endpoint. The instance with the lowest rank polls first.
func pollRank(endpoint, instance uint64) uint64 {
	// The finalizer of splitmix64 spreads a difference in one bit over all bits.
	x := endpoint ^ instance
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// sharesReports reports whether each instance polls only some of the endpoints and receives the other reports from
// peers. This is the case in large fleets.
func (r *Registry) sharesReports() bool {
	maxDirectEndpoints := int(r.options.PollsPerSecond * maxDirectPollInterval.Seconds())
	return r.options.DataCentre != "" && len(r.entries) > maxDirectEndpoints
}

// pollBudget returns the number of polls per second that leaves enough bandwidth for the exchange. The caller holds the
// lock.
func (r *Registry) pollBudget() float64 {
	if !r.sharesReports() {
		return r.options.PollsPerSecond
	}
	exchangeFraction := float64(min(len(r.peerPollers), saturatedExchangePeers)) / saturatedExchangePeers
	return r.options.PollsPerSecond - exchangeFraction*max(0, r.options.PollsPerSecond-saturatedPollsPerSecond)
}

// pollPosition returns the number of instances that poll the endpoint before this one. Instances that cannot read its
// reports are not counted, so a poller without a connection to the endpoint is replaced by the next instance.
func (r *Registry) pollPosition(e *entry) int {
	ownRank := pollRank(e.hash, r.selfHash)
	position := 0
	for _, c := range r.peerPollers {
		if pollRank(e.hash, c.hash) >= ownRank {
			continue
		}
		if p := r.peers[c.id]; p != nil && p.failing[e.hash] {
			continue
		}
		position++
	}
	return position
}

// fallbackAge returns the report age from which this instance polls the endpoint. It is zero if this instance is the
// first poller of the endpoint.
func (r *Registry) fallbackAge(e *entry) time.Duration {
	if e.declared.DataCentre == r.options.DataCentre {
		return time.Duration(r.pollPosition(e)) * reportFallbackAge
	}
	if e.ownInFlight > 0 {
		return remoteFallbackAge
	}
	return noFallback
}

// noFallback is the fallback age of endpoints that this instance never polls.
const noFallback = time.Duration(1<<63 - 1)

// LocalReports returns the reports that this instance polled and sends to its peers.
func (r *Registry) LocalReports() []SharedReport {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.sharesReports() {
		return nil
	}
	var reports []SharedReport
	for _, e := range r.byHash {
		if e.declared.DataCentre != r.options.DataCentre || e.ownPolledAt.IsZero() || time.Since(e.ownPolledAt) > maxSharedReportAge {
			continue
		}
		failed := e.outlier.failedPolls >= failedPollsToEject
		if !failed && !e.reportIsOwn {
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

// SetReports stores the reports of a peer that are newer than the known ones. The slice contains all reports that the
// peer sends. Endpoints that are not marked as failed in it are no longer counted as failing at the peer.
func (r *Registry) SetReports(peerID string, reports []SharedReport) {
	failing := make(map[uint64]bool)
	newIncarnations := make(map[string]string)
	r.mu.Lock()
	for i := range reports {
		e := r.byHash[reports[i].EndpointHash]
		switch {
		case e == nil:
		case reports[i].Failed:
			failing[e.hash] = true
		case reports[i].PolledAt.After(e.reportedAt):
			if r.acceptSharedReport(e, &reports[i]) && !e.plain {
				newIncarnations[e.declared.Name] = reports[i].Report.Incarnation
			}
		}
	}
	r.peer(peerID).failing = failing
	for hash := range failing {
		r.ejectIfPeersFail(r.byHash[hash])
	}
	r.mu.Unlock()
	for name, incarnation := range newIncarnations {
		r.resetCacheState(name, incarnation)
	}
	r.onChange()
}

// acceptSharedReport stores the report of a peer. It reports whether the incarnation differs from that of the previous
// report. The caller holds the lock.
func (r *Registry) acceptSharedReport(e *entry, shared *SharedReport) bool {
	report := shared.Report
	newIncarnation := e.report == nil || e.report.Incarnation != report.Incarnation
	r.replaceReport(e, &report, shared.PolledAt)
	if e.outlier.failedPolls < failedPollsToEject {
		// Failed polls of this instance take precedence, since its calls would fail too.
		e.outlier.unreachable = false
	}
	e.reportIsOwn = false
	return newIncarnation
}

// resetCacheState passes the new incarnation of an endpoint to the event sink without events. The sink then discards
// the cache state of the previous process. resetCacheState is for endpoints whose events this instance does not read.
func (r *Registry) resetCacheState(name, incarnation string) {
	if r.events != nil {
		r.events.Apply(name, incarnation, nil)
	}
}

// ejectIfPeersFail ejects an endpoint whose reports several instances cannot read. Their failed polls count like failed
// polls of this instance. A report from any instance within reportFallbackAge shows that the endpoint is running.
func (r *Registry) ejectIfPeersFail(e *entry) {
	if e.outlier.unreachable || time.Since(e.reportedAt) <= reportFallbackAge {
		return
	}
	failures := 0
	for _, p := range r.peers {
		if p.failing[e.hash] {
			failures++
		}
	}
	if failures >= failedPollsToEject {
		r.ejectUnreachable(e)
	}
}

// sameArtifacts reports whether both reports lead to the same entries in the artifact index.
func sameArtifacts(a, b *engine.Report) bool {
	return a != nil && b != nil && slices.EqualFunc(a.Artifacts, b.Artifacts, func(x, y engine.LoadedArtifact) bool {
		return x.Artifact == y.Artifact && x.State == y.State
	})
}
