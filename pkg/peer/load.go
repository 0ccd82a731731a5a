package peer

import (
	"maps"
	"time"

	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
)

// MemberUsage is what one member received and waits for.
type MemberUsage struct {
	// Service is weighted service since the start of the source; it only grows.
	Service float64
	Waiting uint32
}

// ModelDemand is the demand for one model or adapter.
type ModelDemand struct {
	// Requests and Tokens count arrivals since the start of the source; they only grow.
	Requests uint64
	Tokens   uint64
	// Waiting counts requests that wait for a loaded copy now.
	Waiting uint32
}

// Load is the changing state of one source: an instance, or a data centre as the sum over its instances.
type Load struct {
	// Endpoints maps the hash of an endpoint's name to requests in flight.
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

// withoutGauges returns a copy with the counters only. A full message leaves out zero entries, so gauges start from zero,
// but a counter that a restarted source has not reached again must not be lost.
func (l Load) withoutGauges() Load {
	kept := newLoad()
	for key, u := range l.Members {
		kept.Members[key] = MemberUsage{Service: u.Service}
	}
	for key, d := range l.Models {
		kept.Models[key] = ModelDemand{Requests: d.Requests, Tokens: d.Tokens}
	}
	return kept
}

// add sums another source into l.
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

// split returns the load with waiting calls only, and the arrivals, which are a source of their own for the instances that
// place models.
func (l Load) split() (rest, arrivals Load) {
	rest = l
	rest.Models = make(map[string]ModelDemand)
	arrivals = newLoad()
	for name, d := range l.Models {
		if d.Waiting > 0 {
			rest.Models[name] = ModelDemand{Waiting: d.Waiting}
		}
		if d.Requests > 0 || d.Tokens > 0 {
			arrivals.Models[name] = ModelDemand{Requests: d.Requests, Tokens: d.Tokens}
		}
	}
	return rest, arrivals
}

// emitter numbers the changes of one source that this instance sends.
type emitter struct {
	source      string
	epoch       uint64
	sequence    uint64
	endpoints   *journal[uint64, uint32]
	members     *journal[string, MemberUsage]
	models      *journal[string, ModelDemand]
	reports     *journal[uint64, presentLoad]
	inventories *journal[uint64, *Inventory]
	polledAt    map[uint64]time.Time
	// tolerance of reports; nil means that each change is sent.
	tolerance *tolerance
}

func newEmitter(source string, epoch uint64) *emitter {
	return &emitter{
		source:      source,
		epoch:       epoch,
		endpoints:   newJournal[uint64, uint32](),
		members:     newJournal[string, MemberUsage](),
		models:      newJournal[string, ModelDemand](),
		reports:     newJournal[uint64, presentLoad](),
		inventories: newJournal[uint64, *Inventory](),
	}
}

// update takes the current state. The sequence always advances, so that entries at zero are pruned in time.
func (e *emitter) update(load Load) {
	e.sequence++
	e.endpoints.update(e.sequence, load.Endpoints)
	e.members.update(e.sequence, load.Members)
	e.models.update(e.sequence, load.Models)
	e.reports.update(e.sequence, e.presentLoads(load.Reports))
	e.inventories.update(e.sequence, e.currentInventories(load.Reports))
	e.polledAt = polledTimes(load.Reports)
}

// message returns the entries that changed after the acknowledged sequence.
func (e *emitter) message(held acknowledgement, now time.Time) *peerv1.LoadState {
	since := held.sequence
	if held.epoch != e.epoch || since > e.sequence || since+pruneAfter < e.sequence {
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

// acknowledgement is the state of a source that a receiver holds.
type acknowledgement struct {
	epoch    uint64
	sequence uint64
}
