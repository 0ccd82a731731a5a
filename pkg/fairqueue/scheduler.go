// Package fairqueue decides which workspace's requests go first where the engines of a service are saturated, and up to
// which fraction of an engine's time each workspace may send. It has no network; the caller passes the time and wakes
// requests. Only pkg/fairshare reads the clock itself, for the decay of recent service.
//
// Load pattern: one of 16 workspaces sends 4 to 7 times its usual demand at 63 instances, each of which sees a 63rd of
// the calls. First come, first served, its requests fill the engines, and those of the others are late or rejected in
// proportion to the whole.
//
// Two decisions answer this. Requests that wait at an instance are woken one at a time, in the order of Queue. That order
// alone has little effect, as few requests wait at the same instance at the same time. A workspace above its share is
// therefore also held to a lower limit (Queue.Limit), so that engines keep room for requests of workspaces below it,
// whichever instance these arrive at.
package fairqueue

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
)

// Scheduler keeps the usage of each workspace and the queues of the services of one instance. A workspace has one account
// for all services, because services share engines. It is safe for concurrent use.
type Scheduler struct {
	accountant *fairshare.Accountant

	mu      sync.Mutex
	queues  map[string]*Queue
	sources map[string]*source
	// nextExpiry is the next time at which silent sources are looked for.
	nextExpiry time.Time
}

// NewScheduler returns a scheduler in which all workspaces have equal shares.
func NewScheduler() *Scheduler {
	return &Scheduler{
		accountant: fairshare.NewAccountant(fairshare.DefaultWeights()),
		queues:     make(map[string]*Queue),
		sources:    make(map[string]*source),
	}
}

// SetShares replaces the shares of the workspaces. Those that are missing have share 1.
func (s *Scheduler) SetShares(shares map[string]float64) {
	s.accountant.SetShares(shares)
}

// Queue returns the queue of a service.
func (s *Scheduler) Queue(service string) *Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[service]
	if q == nil {
		q = &Queue{scheduler: s, tickets: make(map[*Ticket]struct{})}
		s.queues[service] = q
	}
	return q
}

// Start charges a workspace the expected cost of a call.
func (s *Scheduler) Start(workspace, model string, expected fairshare.Cost) *fairshare.Charge {
	return s.accountant.Start(workspace, model, expected)
}

// LocalUsages returns what each workspace used at this instance, for other instances.
func (s *Scheduler) LocalUsages() []fairshare.Usage {
	return s.accountant.LocalUsages()
}

// ReceivedService returns the known service of a workspace over all instances.
func (s *Scheduler) ReceivedService(workspace string) float64 {
	return s.accountant.ReceivedService(workspace)
}

const (
	// maxUsageAge is the age from which on usage of other instances is not used, and the time after which a silent source
	// no longer counts as having requests that wait. It spans several intervals between messages; recent service has
	// decayed to a twelfth by then.
	maxUsageAge = 5 * time.Second
	// expiryInterval is the interval at which silent sources are looked for.
	expiryInterval = time.Second
)

// source is another instance, or a coordinator that sums up the usage of other instances.
type source struct {
	receivedAt time.Time
	// baseline is the service that does not count, by workspace: that from before the first message, or from a gap
	// between messages. Counted at once, it would look like recent service.
	baseline map[string]float64
	// counted is the service that counts, by workspace.
	counted map[string]float64
}

// MergeUsages merges what each workspace used at another instance since that instance started, known with the given age.
// Each process start of an instance is a sender of its own. Repeated and late messages change nothing.
func (s *Scheduler) MergeUsages(sender string, usages []fairshare.Usage, age time.Duration, now time.Time) {
	if age > maxUsageAge {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.sources[sender]
	resumed := from == nil || now.Sub(from.receivedAt) > maxUsageAge
	if from == nil {
		from = &source{baseline: make(map[string]float64), counted: make(map[string]float64)}
		s.sources[sender] = from
	}
	from.receivedAt = now
	relative := make([]fairshare.Usage, 0, len(usages))
	for _, u := range usages {
		if resumed {
			from.baseline[u.Member] = max(from.baseline[u.Member], u.Service-from.counted[u.Member])
		}
		u.Service = max(u.Service-from.baseline[u.Member], 0)
		from.counted[u.Member] = max(from.counted[u.Member], u.Service)
		relative = append(relative, u)
	}
	s.accountant.MergePeerUsages(sender, relative)
}

// Sum is the usage of all instances together as a coordinator knows it.
type Sum struct {
	// Source identifies the coordinator and its process start.
	Source string
	Usages []fairshare.Usage
	// Own is the part of Usages that the coordinator was told by this instance.
	Own []fairshare.Usage
	Age time.Duration
}

// MergeSum merges the usage of all instances together.
func (s *Scheduler) MergeSum(sum Sum, now time.Time) {
	own := make(map[string]fairshare.Usage, len(sum.Own))
	for _, u := range sum.Own {
		own[u.Member] = u
	}
	others := slices.Clone(sum.Usages)
	for i := range others {
		others[i].Service = max(others[i].Service-own[others[i].Member].Service, 0)
		others[i].Waiting = max(others[i].Waiting-own[others[i].Member].Waiting, 0)
	}
	s.MergeUsages(sum.Source, others, sum.Age, now)
}

// expireSources stops counting the waiting requests of sources that have fallen silent, so that they do not hold workspaces
// back for good.
func (s *Scheduler) expireSources(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(expiryInterval)
	maps.DeleteFunc(s.sources, func(sender string, from *source) bool {
		silentFor := now.Sub(from.receivedAt)
		if silentFor > maxUsageAge {
			s.accountant.RemovePeer(sender)
		}
		return silentFor > sourceRetention
	})
}

// sourceRetention is how long a silent source is remembered. It is longer than an instance is usually cut off, and bounds
// what instances that were replaced leave behind.
const sourceRetention = 10 * time.Minute
