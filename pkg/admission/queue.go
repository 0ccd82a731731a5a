package admission

import (
	"slices"
	"sort"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// modelKey identifies what a call needs: a model or adapter of an engine service, or a plain service.
type modelKey struct {
	service string
	// id is the called adapter, else the model; empty for a plain service.
	id string
}

// String returns the name of the model's fair share account, which is also the subject of routing decisions.
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

// waiter is a queued call. The controller's lock guards its fields, except result.
type waiter struct {
	request    scheduling.Request
	key        modelKey
	sequence   uint64
	enqueuedAt time.Time
	// firstTokenDue is the time after which the call misses its first-token target; zero means no target.
	firstTokenDue time.Time
	// latestStart is the time at which a call that still waits is refused, because it is not expected to finish in
	// time.
	latestStart time.Time
	queue       *modelQueue // nil once the call left the queue
	// result receives exactly one value when the call is granted or refused, and none when its wait is cancelled.
	result chan waitResult
}

// waitResult holds a ticket or the reason for a refusal.
type waitResult struct {
	ticket  *ticket
	problem *problem.Problem
}

// modelQueue holds one member's waiting calls for one model, highest priority first, then oldest first.
type modelQueue struct {
	member  *memberQueue
	key     modelKey
	waiters []*waiter
	// notLoaded is true while no copy of the model is loaded. The calls are then counted in the demand tracker and not
	// in the fair share.
	notLoaded      bool
	startIntervals startIntervals
}

func (q *modelQueue) insert(w *waiter) {
	position := len(q.waiters)
	for position > 0 && q.waiters[position-1].request.Priority < w.request.Priority {
		position--
	}
	q.waiters = slices.Insert(q.waiters, position, w)
	if q.startIntervals.intervalStart.IsZero() {
		q.startIntervals.intervalStart = time.Now()
	}
	w.queue = q
	q.member.waitingCalls++
	q.member.waitingBytes += int64(w.request.Bytes)
}

// isLate reports whether the call misses its first-token target even if it starts now.
func (w *waiter) isLate(now time.Time) bool {
	return !w.firstTokenDue.IsZero() && now.After(w.firstTokenDue)
}

// firstOnTime returns the index of the oldest call that is not late. It returns zero if all calls are late, or if
// priorities differ, because higher priorities start first. Calls of equal priority have the same target, so the late
// ones are the oldest.
func (q *modelQueue) firstOnTime(now time.Time) int {
	n := len(q.waiters)
	if n == 0 || q.waiters[0].request.Priority != q.waiters[n-1].request.Priority {
		return 0
	}
	first := sort.Search(n, func(i int) bool { return !q.waiters[i].isLate(now) })
	if first == n {
		return 0
	}
	return first
}

// recordStart updates the interval between starts. A call that did not wait only begins a new interval, since it does
// not measure a backlog.
func (q *modelQueue) recordStart(w *waiter) {
	now := time.Now()
	if now.After(w.enqueuedAt) {
		q.startIntervals.average.observe(now.Sub(q.startIntervals.intervalStart).Seconds())
	}
	q.startIntervals.intervalStart = now
}

func (q *modelQueue) remove(w *waiter) {
	position := slices.Index(q.waiters, w)
	q.waiters = slices.Delete(q.waiters, position, position+1)
	if len(q.waiters) == 0 {
		q.startIntervals.intervalStart = time.Time{}
	}
	w.queue = nil
	q.member.waitingCalls--
	q.member.waitingBytes -= int64(w.request.Bytes)
}

// memberQueue holds one member's waiting calls.
type memberQueue struct {
	name         string
	models       map[modelKey]*modelQueue
	waitingCalls int
	waitingBytes int64
	// inProgress counts running and waiting calls; the member's limit applies to it.
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

// shedCandidate returns the call to refuse on overflow: the oldest late call, else the newest call.
func (m *memberQueue) shedCandidate(now time.Time) *waiter {
	var oldest *waiter
	for _, q := range m.models {
		if len(q.waiters) == 0 {
			continue
		}
		if w := q.waiters[0]; w.isLate(now) && (oldest == nil || w.sequence < oldest.sequence) {
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
