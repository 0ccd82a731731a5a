package admission

import (
	"slices"
	"sort"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// modelKey names what a call needs: a model or adapter of an engine service, or a plain service.
type modelKey struct {
	service string
	// id is the adapter if one was called, else the model; empty for a plain service.
	id string
}

// String is the name of the model's account in the fair share, and the subject of routing decisions.
func (k modelKey) String() string {
	if k.id == "" {
		return k.service
	}
	return k.service + "/" + k.id
}

func keyOf(request *scheduling.Request) modelKey {
	if request.Adapter != "" {
		return modelKey{service: request.Service, id: request.Adapter}
	}
	return modelKey{service: request.Service, id: request.Model}
}

// waiter is a queued call. Its fields are guarded by the controller's lock, except done.
type waiter struct {
	request  scheduling.Request
	key      modelKey
	sequence uint64
	enqueued time.Time
	// freshUntil is when the call has waited so long that it misses the target for its first token; zero means never.
	freshUntil time.Time
	// latestStart is when the call is refused because it could probably not finish any more.
	latestStart time.Time
	queue       *modelQueue // nil once the call left the queue
	// done receives exactly one value when the call leaves the queue other than by its own goroutine.
	done chan verdict
}

// verdict is a ticket or the reason for a refusal.
type verdict struct {
	ticket  *ticket
	problem *problem.Problem
}

// modelQueue holds one member's waiting calls for one model, highest priority first, then oldest first.
type modelQueue struct {
	member  *memberQueue
	key     modelKey
	waiters []*waiter
	// notLoaded is true while the calls wait for a loaded copy; they are then counted in the demand tracker and not in the
	// fair share.
	notLoaded bool
	pace      pace
}

func (q *modelQueue) insert(w *waiter) {
	at := len(q.waiters)
	for at > 0 && q.waiters[at-1].request.Priority < w.request.Priority {
		at--
	}
	q.waiters = slices.Insert(q.waiters, at, w)
	if q.pace.backlogged.IsZero() {
		q.pace.backlogged = time.Now()
	}
	w.queue = q
	q.member.calls++
	q.member.bytes += int64(w.request.Bytes)
}

// late tells whether the call misses the target for its first token even if it starts now.
func (w *waiter) late(now time.Time) bool {
	return !w.freshUntil.IsZero() && now.After(w.freshUntil)
}

// firstFresh returns the index of the oldest call that is not late, or zero when the calls have different priorities,
// which come first. Calls with one priority have one target, so the late ones are the oldest.
func (q *modelQueue) firstFresh(now time.Time) int {
	n := len(q.waiters)
	if n == 0 || q.waiters[0].request.Priority != q.waiters[n-1].request.Priority {
		return 0
	}
	first := sort.Search(n, func(i int) bool { return !q.waiters[i].late(now) })
	if first == n {
		return 0
	}
	return first
}

// started measures the pace of the queue. A call that did not wait says nothing about it.
func (q *modelQueue) started(w *waiter) {
	now := time.Now()
	if now.After(w.enqueued) {
		q.pace.interval.observe(now.Sub(q.pace.backlogged).Seconds())
	}
	q.pace.backlogged = now
}

func (q *modelQueue) remove(w *waiter) {
	at := slices.Index(q.waiters, w)
	q.waiters = slices.Delete(q.waiters, at, at+1)
	if len(q.waiters) == 0 {
		q.pace.backlogged = time.Time{}
	}
	w.queue = nil
	q.member.calls--
	q.member.bytes -= int64(w.request.Bytes)
}

// memberQueue holds one member's waiting calls.
type memberQueue struct {
	name   string
	models map[modelKey]*modelQueue
	calls  int
	bytes  int64
	// inProgress counts running and waiting calls, for the member's limit.
	inProgress int
}

func newMemberQueue(name string) *memberQueue {
	return &memberQueue{name: name, models: make(map[modelKey]*modelQueue)}
}

func (m *memberQueue) queueFor(key modelKey) *modelQueue {
	q := m.models[key]
	if q == nil {
		q = &modelQueue{member: m, key: key}
		m.models[key] = q
	}
	return q
}

// leastUseful returns the call to give up: the oldest late one, else the one that was queued last.
func (m *memberQueue) leastUseful(now time.Time) *waiter {
	var oldest *waiter
	for _, q := range m.models {
		if len(q.waiters) == 0 {
			continue
		}
		if w := q.waiters[0]; w.late(now) && (oldest == nil || w.sequence < oldest.sequence) {
			oldest = w
		}
	}
	if oldest != nil {
		return oldest
	}
	return m.newest()
}

// newest returns the call that was queued last.
func (m *memberQueue) newest() *waiter {
	var newest *waiter
	for _, q := range m.models {
		for _, w := range q.waiters {
			if newest == nil || w.sequence > newest.sequence {
				newest = w
			}
		}
	}
	return newest
}
