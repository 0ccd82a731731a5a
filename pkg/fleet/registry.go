package fleet

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// remoteWorkAge is the age at which another instance's report of its calls no longer counts: that instance is gone or
	// cut off, and its calls end within seconds.
	remoteWorkAge = 2 * time.Second
	// ReappearGrace is how long an entry that the store removed during an outage of its own is kept, because endpoints
	// that live announce themselves again within two seconds of the store's return.
	ReappearGrace = 2 * time.Second
)

// Endpoint is one endpoint with all that is believed of it. Its fields are guarded by the registry.
type Endpoint struct {
	Announcement
	// announced are the models of the last announcement, without what is known from orders.
	announced []HeldModel
	own       Work
	sent      sendRate
	remote    map[string]remoteWork
	Health    Health
	prompts   *promptCache
	// RemovalAt is the time at which a leaving endpoint ends; zero means unknown.
	RemovalAt time.Time
	goneAt    time.Time
	// trustHeldUntil is the time until which Models, known from this system's orders, goes before announcements.
	trustHeldUntil time.Time
	// heldAt is when Models was changed by an order last.
	heldAt time.Time
}

// AnnouncedModels returns the models that the endpoint's own last announcement lists.
func (e *Endpoint) AnnouncedModels() []string {
	names := make([]string, 0, len(e.announced))
	for _, m := range e.announced {
		names = append(names, m.Name)
	}
	return names
}

// ownWork returns this instance's calls at the endpoint.
func (e *Endpoint) ownWork(now time.Time) Work {
	work := e.own
	work.PrefillRate = int(e.sent.read(now))
	return work
}

// sendRate is a moving rate of prompt tokens per second.
type sendRate struct {
	sum float64
	at  time.Time
}

// sendRateMemory is the time constant of a sendRate. It allows a burst of about a second of an engine's work.
const sendRateMemory = time.Second

func (r *sendRate) read(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-max(now.Sub(r.at), 0).Seconds()/sendRateMemory.Seconds()) / sendRateMemory.Seconds()
}

func (r *sendRate) add(tokens int, now time.Time) {
	r.sum = r.read(now)*sendRateMemory.Seconds() + float64(tokens)
	r.at = now
}

type remoteWork struct {
	work Work
	at   time.Time
}

// Work returns the calls of all instances at the endpoint.
func (e *Endpoint) Work(now time.Time) Work {
	total := e.ownWork(now)
	for _, r := range e.remote {
		if now.Sub(r.at) < remoteWorkAge {
			total = total.Add(r.work)
		}
	}
	return total
}

// Registry holds the endpoints. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex
	endpoints map[string]*Endpoint
	loading   map[string]loadingModel
	changed   chan struct{}
}

// NewRegistry returns a registry without endpoints.
func NewRegistry() *Registry {
	return &Registry{endpoints: make(map[string]*Endpoint), loading: make(map[string]loadingModel), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change of an announcement.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *Registry) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Change tells what an announcement changed.
type Change int

// The changes that callers log.
const (
	Unchanged Change = iota
	Appeared
	Restarted
	StartedLeaving
	// Updated means that what the endpoint holds or how it does changed.
	Updated
)

// Announce takes over an announcement.
func (r *Registry) Announce(a Announcement, now time.Time) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.endpoints[a.ID]
	change := compare(known, &a)
	if known == nil || change == Restarted {
		known = &Endpoint{remote: make(map[string]remoteWork), prompts: newPromptCache()}
		r.endpoints[a.ID] = known
	}
	held := known.Models
	known.goneAt = time.Time{}
	known.announced = a.Models
	if now.Before(known.trustHeldUntil) {
		// The entry may be older than what this system's own orders have changed since.
		a.Models = known.Models
	}
	known.Announcement = a
	known.RemovalAt = time.Time{}
	if a.RemovalIn > 0 {
		known.RemovalAt = now.Add(a.RemovalIn)
	}
	if change != Unchanged || !slices.EqualFunc(held, known.Models, sameHeld) {
		r.signal()
	}
	return change
}

func compare(known *Endpoint, a *Announcement) Change {
	switch {
	case known == nil:
		return Appeared
	case known.Lifetime != a.Lifetime || known.Address != a.Address:
		return Restarted
	case a.Leaving && !known.Leaving:
		return StartedLeaving
	case a.Slots != known.Slots || a.RemovalIn > 0 || !slices.EqualFunc(a.Models, known.announced, sameHeld):
		return Updated
	default:
		return Unchanged
	}
}

// Withdraw drops an endpoint whose entry was removed. With grace it stays usable for a while: the store has just
// returned from an outage in which entries expired, and endpoints that live are about to announce themselves again.
// It returns whether the endpoint was there.
func (r *Registry) Withdraw(id string, grace bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.endpoints[id]
	if known == nil {
		return false
	}
	if grace {
		if known.goneAt.IsZero() {
			known.goneAt = now.Add(ReappearGrace)
		}
		return true
	}
	delete(r.endpoints, id)
	r.signal()
	return true
}

// Graced tells whether an endpoint is kept that was withdrawn.
func (r *Registry) Graced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		if !e.goneAt.IsZero() {
			return true
		}
	}
	return false
}

// Expire drops endpoints whose grace has ended and returns their ids.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []string
	for id, e := range r.endpoints {
		if !e.goneAt.IsZero() && !now.Before(e.goneAt) {
			expired = append(expired, id)
			delete(r.endpoints, id)
		}
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

// Announcements returns the announcements of a service's endpoints; an empty service means all.
func (r *Registry) Announcements(service string) []Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Announcement
	for _, e := range r.endpoints {
		if service == "" || e.Service == service {
			all = append(all, e.Announcement)
		}
	}
	return all
}

// Usable counts the endpoints that are not leaving.
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

// View calls f with the endpoints of a service under the registry's lock. f must not block or keep the slice.
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

// OwnWork returns this instance's calls by endpoint id.
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

// SetRemoteWork replaces another instance's calls at all endpoints; workOf returns those at one, and whether there are any.
func (r *Registry) SetRemoteWork(instance string, workOf func(id string) (Work, bool), now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.endpoints {
		w, ok := workOf(id)
		if !ok {
			delete(e.remote, instance)
			continue
		}
		e.remote[instance] = remoteWork{work: w, at: now}
	}
	r.signal()
}
