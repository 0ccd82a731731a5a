package peer

import (
	"maps"
	"time"

	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
)

// MemberUsage is the service that one member received and the number of its waiting requests.
type MemberUsage struct {
	// Service is the weighted service since the start of the source. It never decreases.
	Service float64
	Waiting uint32
}

// ModelDemand is the demand for one model or adapter.
type ModelDemand struct {
	// Requests and Tokens count arrivals since the start of the source. They never decrease.
	Requests uint64
	Tokens   uint64
	// Waiting is the number of requests that currently wait for a loaded copy.
	Waiting uint32
}

// Load is the state of one source: an instance, or a data centre as the sum over its instances.
type Load struct {
	// Endpoints maps the hash of an endpoint's name to its number of requests in flight.
	Endpoints map[uint64]uint32
	Members   map[string]MemberUsage
	Models    map[string]ModelDemand
	// Reports maps the hash of an endpoint's name to its last load report.
	Reports map[uint64]EndpointReport
}

func newLoad() Load {
	return Load{
		Endpoints: make(map[uint64]uint32),
		Members:   make(map[string]MemberUsage),
		Models:    make(map[string]ModelDemand),
		Reports:   make(map[uint64]EndpointReport),
	}
}

func (l Load) clone() Load {
	return Load{
		Endpoints: maps.Clone(l.Endpoints),
		Members:   maps.Clone(l.Members),
		Models:    maps.Clone(l.Models),
		Reports:   maps.Clone(l.Reports),
	}
}

// countersOnly returns a copy with the counters only. A full message omits zero entries, so gauges are reset before it
// is applied. Counters are kept, since a restarted source sends a counter only after it has increased again.
func (l Load) countersOnly() Load {
	counters := newLoad()
	for key, u := range l.Members {
		counters.Members[key] = MemberUsage{Service: u.Service}
	}
	for key, d := range l.Models {
		counters.Models[key] = ModelDemand{Requests: d.Requests, Tokens: d.Tokens}
	}
	return counters
}

// add adds the load of another source to l.
func (l Load) add(other Load) {
	for key, n := range other.Endpoints {
		l.Endpoints[key] += n
	}
	for key, u := range other.Members {
		sum := l.Members[key]
		sum.Service += u.Service
		sum.Waiting += u.Waiting
		l.Members[key] = sum
	}
	for key, d := range other.Models {
		sum := l.Models[key]
		sum.Requests += d.Requests
		sum.Tokens += d.Tokens
		sum.Waiting += d.Waiting
		l.Models[key] = sum
	}
	for hash, r := range other.Reports {
		l.addReport(hash, r)
	}
}

// split separates the arrivals from the rest of the load. Arrivals are sent as a separate source to the instances that
// place models. Of the demand for models the rest contains only the number of waiting requests.
func (l Load) split() (load, arrivals Load) {
	load = l
	load.Models = make(map[string]ModelDemand)
	arrivals = newLoad()
	for name, d := range l.Models {
		if d.Waiting > 0 {
			load.Models[name] = ModelDemand{Waiting: d.Waiting}
		}
		if d.Requests > 0 || d.Tokens > 0 {
			arrivals.Models[name] = ModelDemand{Requests: d.Requests, Tokens: d.Tokens}
		}
	}
	return load, arrivals
}

// deltaEncoder encodes the changes of one source for peers, based on the sequence that each peer has acknowledged.
type deltaEncoder struct {
	source      string
	epoch       uint64
	sequence    uint64
	endpoints   *versionedMap[uint64, uint32]
	members     *versionedMap[string, MemberUsage]
	models      *versionedMap[string, ModelDemand]
	reports     *versionedMap[uint64, reportEntry]
	inventories *versionedMap[uint64, *Inventory]
	polledAt    map[uint64]time.Time
	// tolerance applies to reports; nil means that every change is sent.
	tolerance *tolerance
}

func newDeltaEncoder(source string, epoch uint64) *deltaEncoder {
	return &deltaEncoder{
		source:      source,
		epoch:       epoch,
		endpoints:   newVersionedMap[uint64, uint32](),
		members:     newVersionedMap[string, MemberUsage](),
		models:      newVersionedMap[string, ModelDemand](),
		reports:     newVersionedMap[uint64, reportEntry](),
		inventories: newVersionedMap[uint64, *Inventory](),
	}
}

// update records the current state. It always increments the sequence, so that entries at zero are eventually removed.
func (e *deltaEncoder) update(load Load) {
	e.sequence++
	e.endpoints.update(e.sequence, load.Endpoints)
	e.members.update(e.sequence, load.Members)
	e.models.update(e.sequence, load.Models)
	e.reports.update(e.sequence, e.reportEntries(load.Reports))
	e.inventories.update(e.sequence, e.currentInventories(load.Reports))
	e.polledAt = polledTimes(load.Reports)
}

// message returns the entries that changed after the acknowledged sequence, or the full state if the acknowledgement is
// of another epoch or too old.
func (e *deltaEncoder) message(acknowledged acknowledgement, now time.Time) *peerv1.LoadState {
	since := acknowledged.sequence
	if acknowledged.epoch != e.epoch || since > e.sequence || since+pruneAfterSequences < e.sequence {
		since = 0
	}
	m := &peerv1.LoadState{Source: e.source, Epoch: e.epoch, Sequence: e.sequence, Since: since}
	for hash, n := range e.endpoints.since(since) {
		m.Endpoints = append(m.Endpoints, &peerv1.EndpointLoad{EndpointHash: hash, InFlight: n})
	}
	for name, u := range e.members.since(since) {
		m.Members = append(m.Members, &peerv1.MemberUsage{Member: name, Service: uint64(u.Service), Waiting: u.Waiting})
	}
	for name, d := range e.models.since(since) {
		m.Models = append(m.Models, &peerv1.ModelDemand{
			Model: name, Requests: d.Requests, Tokens: d.Tokens, Waiting: d.Waiting,
		})
	}
	e.addReports(m, since, now)
	return m
}

// acknowledgement is the epoch and sequence of a source that a receiver has applied.
type acknowledgement struct {
	epoch    uint64
	sequence uint64
}
