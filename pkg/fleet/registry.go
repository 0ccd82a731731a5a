package fleet

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/limit"
)

const (
	// maxRemoteWorkAge is the age at which another instance's report of its calls no longer counts. An instance without
	// a newer report has stopped or is disconnected, and its calls end within seconds.
	maxRemoteWorkAge = 2 * time.Second
	// ReappearGrace is how long after an outage of the store an endpoint is kept whose entry the store removed. Running
	// endpoints announce themselves again within two seconds of the store's recovery.
	ReappearGrace = 2 * time.Second
	// restoreSettleTime is how long after the restore of the store an endpoint is not used that had left without notice and
	// that the copy lists. Within ReappearGrace its entry is removed again or proves to be its own; the rest is for this
	// instance to learn of that.
	restoreSettleTime = 2 * ReappearGrace
)

// Endpoint is one endpoint with all recorded state. Its fields are guarded by the registry's lock.
type Endpoint struct {
	Announcement
	key EndpointKey
	// announcedLeaving is set if the store's entry says that the endpoint leaves. Leaving is also set if the endpoint
	// itself has said so.
	announcedLeaving bool
	// stated is what the endpoint has said in responses; nil if it has said nothing.
	stated *stated
	// announcedModels are the models of the last announcement, without changes by orders.
	announcedModels []HeldModel
	// announcedOrders is the number of accepted orders that announcedModels reflect; zero if not known.
	announcedOrders int64
	own             Work
	sendRate        sendRate
	slowness        endpointSlowness
	// load is what the endpoint has stated of its load; nil if the choice is to ignore that.
	load       *endpointLoad
	remoteWork map[string]remoteWork
	Health     Health
	prompts    *promptCache
	// RemovalAt is when a leaving endpoint is removed; zero means unknown.
	RemovalAt time.Time
	// graceEndsAt is when an endpoint that was withdrawn with grace is removed; zero for all others.
	graceEndsAt time.Time
	// withheldUntil is the time until which the endpoint is not used; zero for most.
	withheldUntil time.Time
	// modelsTrustedUntil is the time until which Models, as changed by orders, takes precedence over announcements.
	modelsTrustedUntil time.Time
	// modelsChangedAt is the time of the last change of Models by an order.
	modelsChangedAt time.Time
}

// graceEnded reports whether the endpoint was withdrawn with a grace period that has ended.
func (e *Endpoint) graceEnded(now time.Time) bool {
	return !e.graceEndsAt.IsZero() && !now.Before(e.graceEndsAt)
}

// AnnouncedModels returns the models of the endpoint's last announcement and the number of orders that it had accepted by
// then; the number is zero if it is not known. The models must not be changed.
func (e *Endpoint) AnnouncedModels() ([]HeldModel, int64) {
	return e.announcedModels, e.announcedOrders
}

// ownWork returns this instance's calls at the endpoint.
func (e *Endpoint) ownWork(now time.Time) Work {
	work := e.own
	work.PrefillRate = int(e.sendRate.perSecond(now))
	return work
}

// sendRate is an exponentially decaying rate of prompt tokens per second.
type sendRate struct {
	sum       float64
	updatedAt time.Time
}

// sendRateDecayTime is the time constant of a sendRate. It allows a burst of about one second of an engine's work.
const sendRateDecayTime = time.Second

func (r *sendRate) perSecond(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds()/sendRateDecayTime.Seconds()) / sendRateDecayTime.Seconds()
}

func (r *sendRate) add(tokens int, now time.Time) {
	r.sum = r.perSecond(now)*sendRateDecayTime.Seconds() + float64(tokens)
	r.updatedAt = now
}

type remoteWork struct {
	work       Work
	receivedAt time.Time
}

// Work returns the calls of all instances at the endpoint.
func (e *Endpoint) Work(now time.Time) Work {
	total := e.ownWork(now)
	for _, r := range e.remoteWork {
		if now.Sub(r.receivedAt) < maxRemoteWorkAge {
			total = total.Add(r.work)
		}
	}
	return total
}

// Registry holds the endpoints. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex
	endpoints map[string]*Endpoint
	byKey     map[EndpointKey]*Endpoint
	loading   map[string]loadingModel
	stated    map[endpointRun]*stated
	// departed are the runs of endpoints whose entries were removed. An older copy of the store may list them again.
	departed map[endpointRun]departure
	// withheld are the times until which runs are not used that an older copy of the store may list again.
	withheld  map[endpointRun]time.Time
	sentParts recentLog[SentPart]
	// slowness has an estimate for each service, ownSlowness the recent measurements of this instance.
	slowness    map[string]*slowness
	ownSlowness recentLog[SlownessSamples]
	// capacity is known for services with stated loads, latency, a logarithm of seconds, for plain ones of them.
	// limitChanges are the changes of learned limits that have not been taken.
	capacity     map[string]*limit.Capacity
	latency      map[string]*limit.Track
	limitChanges []LimitChange
	// software has the versions of the software of each service's endpoints, in order; nil after a change of the endpoints.
	software map[string][]string
	changed  chan struct{}
}

// NewRegistry returns a registry without endpoints.
func NewRegistry() *Registry {
	return &Registry{
		endpoints: make(map[string]*Endpoint),
		byKey:     make(map[EndpointKey]*Endpoint),
		loading:   make(map[string]loadingModel),
		stated:    make(map[endpointRun]*stated),
		departed:  make(map[endpointRun]departure),
		withheld:  make(map[endpointRun]time.Time),
		slowness:  make(map[string]*slowness),
		capacity:  make(map[string]*limit.Capacity),
		latency:   make(map[string]*limit.Track),
		changed:   make(chan struct{}),
	}
}

// departure is the removal of an endpoint's entry.
type departure struct {
	at time.Time
	// announced is set if the entry said before that the endpoint leaves. Other endpoints leave without notice, crash or do
	// not reach the store, and may come back.
	announced bool
}

// insert adds an endpoint or replaces its previous lifetime. The caller holds the lock.
func (r *Registry) insert(id string, e *Endpoint) {
	e.key = EndpointKeyOf(id)
	r.endpoints[id] = e
	r.byKey[e.key] = e
}

// remove removes an endpoint. The caller holds the lock.
func (r *Registry) remove(id string, now time.Time) {
	e := r.endpoints[id]
	delete(r.endpoints, id)
	r.software = nil
	if e != nil {
		maps.DeleteFunc(r.departed, func(_ endpointRun, d departure) bool { return now.Sub(d.at) >= statementRetention })
		r.departed[endpointRun{id, e.Lifetime}] = departure{at: now, announced: e.announcedLeaving}
	}
	if e != nil && r.byKey[e.key] == e {
		delete(r.byKey, e.key)
	}
}

// Changed returns a channel that is closed at the next change of the endpoints or their work.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *Registry) signalChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Change is the effect of an announcement.
type Change int

// Effects of an announcement.
const (
	Unchanged Change = iota
	Appeared
	Restarted
	StartedLeaving
	// StoppedLeaving means that the endpoint announced itself as leaving before and no longer does.
	StoppedLeaving
	// Updated means that the entry changed otherwise: the endpoint's models, slots or removal time, an entry that was missing,
	// or one that says what the endpoint had said itself.
	Updated
)

// Announce records an announcement and returns its effect.
func (r *Registry) Announce(a Announcement, now time.Time) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	existing := r.endpoints[a.ID]
	announcedLeaving := a.Leaving
	said := r.stated[endpointRun{a.ID, a.Lifetime}]
	a.Leaving = a.Leaving || said != nil && !said.leavingSince.IsZero()
	sameRun := existing != nil && existing.Lifetime == a.Lifetime
	if sameRun && (a.Models == nil || a.OrdersAccepted != 0 && a.OrdersAccepted < existing.announcedOrders) {
		// An entry without a list of models says nothing about them, and one from before orders that the endpoint has
		// acknowledged is outdated: the store was restored from an older copy.
		a.Models, a.OrdersAccepted = existing.announcedModels, existing.announcedOrders
	}
	change := compare(existing, &a)
	if change == Unchanged && (existing.announcedLeaving != announcedLeaving || !existing.graceEndsAt.IsZero()) {
		// The entry differs from the previous one, although what is known of the endpoint does not.
		change = Updated
	}
	if existing == nil || change == Restarted {
		existing = &Endpoint{remoteWork: make(map[string]remoteWork), prompts: newPromptCache()}
		r.insert(a.ID, existing)
	}
	previousModels := existing.Models
	existing.graceEndsAt = time.Time{}
	existing.withheldUntil = r.withheld[endpointRun{a.ID, a.Lifetime}]
	if d, found := r.departed[endpointRun{a.ID, a.Lifetime}]; found && !d.announced {
		delete(r.departed, endpointRun{a.ID, a.Lifetime})
	}
	existing.announcedLeaving, existing.stated = announcedLeaving, said
	existing.announcedModels, existing.announcedOrders = a.Models, a.OrdersAccepted
	if now.Before(existing.modelsTrustedUntil) {
		// The entry may be older than the last change by this system's orders.
		a.Models = existing.Models
	}
	existing.Announcement = a
	if change != Unchanged {
		r.software = nil
	}
	r.expectStatedLoad(existing)
	existing.RemovalAt = time.Time{}
	if a.RemovalIn > 0 {
		existing.RemovalAt = now.Add(a.RemovalIn)
	}
	if change != Unchanged || !slices.EqualFunc(previousModels, existing.Models, sameModel) {
		r.signalChange()
	}
	return change
}

func compare(existing *Endpoint, a *Announcement) Change {
	switch {
	case existing == nil:
		return Appeared
	case existing.Lifetime != a.Lifetime || existing.Address != a.Address:
		return Restarted
	case a.Leaving && !existing.Leaving:
		return StartedLeaving
	case !a.Leaving && existing.Leaving:
		return StoppedLeaving
	case a.Slots != existing.Slots || a.Software != existing.Software || a.RemovalIn > 0 || !slices.EqualFunc(a.Models, existing.announcedModels, sameModel):
		return Updated
	default:
		return Unchanged
	}
}

// Withdraw removes an endpoint whose entry was removed, at graceEnd if that is in the future. A store that has just
// recovered from an outage may have removed the entries of running endpoints, which are about to announce themselves
// again. An endpoint whose entry said that it leaves needs no grace. Withdraw reports whether the endpoint was known and
// whether it is kept.
func (r *Registry) Withdraw(id string, graceEnd, now time.Time) (known, kept bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	existing := r.endpoints[id]
	if existing == nil {
		return false, false
	}
	if graceEnd.After(now) && !existing.announcedLeaving {
		if existing.graceEndsAt.IsZero() {
			existing.graceEndsAt = graceEnd
		}
		return true, true
	}
	r.remove(id, now)
	r.signalChange()
	return true, false
}

// GraceEnds returns the ends of the grace periods of withdrawn endpoints that are still kept, by id.
func (r *Registry) GraceEnds() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := make(map[string]time.Time)
	for id, e := range r.endpoints {
		if !e.graceEndsAt.IsZero() {
			ends[id] = e.graceEndsAt
		}
	}
	return ends
}

// Expire removes endpoints whose grace period has ended and returns their ids.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []string
	for id, e := range r.endpoints {
		if e.graceEnded(now) {
			expired = append(expired, id)
			r.remove(id, now)
		}
	}
	if len(expired) > 0 {
		r.signalChange()
	}
	return expired
}

// IDs returns the ids of all endpoints.
func (r *Registry) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.endpoints))
	for id := range r.endpoints {
		ids = append(ids, id)
	}
	return ids
}

// Announcements returns the announcements of a service's endpoints; an empty service means all. They say that an endpoint
// leaves only if its entry says so, whatever the endpoint has said in responses.
func (r *Registry) Announcements(service string) []Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Announcement
	for _, e := range r.endpoints {
		if service == "" || e.Service == service {
			a := e.Announcement
			a.Leaving = e.announcedLeaving
			all = append(all, a)
		}
	}
	return all
}

// Software returns the versions of the software of a service's endpoints, in order, also of those that are leaving. The caller
// must not change them.
func (r *Registry) Software(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.software == nil {
		r.software = make(map[string][]string)
		for _, e := range r.endpoints {
			if versions := r.software[e.Service]; e.Software != "" && !slices.Contains(versions, e.Software) {
				r.software[e.Service] = append(versions, e.Software)
			}
		}
		for _, versions := range r.software {
			slices.Sort(versions)
		}
	}
	return r.software[service]
}

// Wake wakes those who wait for a change of the endpoints.
func (r *Registry) Wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.signalChange()
}

// Usable returns the number of endpoints that are not leaving.
func (r *Registry) Usable() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, e := range r.endpoints {
		if !e.Leaving {
			count++
		}
	}
	return count
}

// View calls f with the endpoints of a service while it holds the registry's lock. f must not block or keep the slice.
func (r *Registry) View(service string, f func(endpoints []*Endpoint)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []*Endpoint
	for _, e := range r.endpoints {
		if e.Service == service {
			selected = append(selected, e)
		}
	}
	f(selected)
}

// OwnWork returns this instance's work by endpoint id. It omits endpoints without work.
func (r *Registry) OwnWork(now time.Time) map[string]Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	work := make(map[string]Work)
	for id, e := range r.endpoints {
		if own := e.ownWork(now); own != (Work{}) {
			work[id] = own
		}
	}
	return work
}

// SetRemoteWork replaces another instance's work at all endpoints.
func (r *Registry) SetRemoteWork(instance string, work map[EndpointKey]Work, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		w, ok := work[e.key]
		if !ok {
			delete(e.remoteWork, instance)
			continue
		}
		e.remoteWork[instance] = remoteWork{work: w, receivedAt: now}
	}
	r.signalChange()
}
