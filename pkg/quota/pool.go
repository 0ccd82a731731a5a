package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Pool is the coordinator's side: the portions that instances lend to this one, and what it granted of them.
type Pool struct {
	epoch   int64
	limits  Limits
	lenders map[string]*lender
	buckets map[Key]*poolBucket
	pruned  time.Duration
	// share is the sum of the portions lent. It is computed anew at nextEnd, when the first loan may end.
	share   float64
	nextEnd time.Duration
}

// lender is an instance that sends requests.
type lender struct {
	epoch, number int64
	// portion is lent until lentUntil in this coordinator's time.
	portion     float64
	lentUntil   time.Duration
	heardAt     time.Duration
	usageSentAt time.Duration
	// used is the last reported total of each workspace. The first report is the baseline: the total counts from the start
	// of the process, and an earlier coordinator may have counted it.
	used map[Key]int64
}

type poolBucket struct {
	bucket
	// booked is the cost of rejected requests that return and have not been covered yet. It falls at the rate of the
	// limit.
	booked   float64
	bookedAt time.Duration
	usage    decayingRate
}

// decayingRate is a rate averaged over usageTime.
type decayingRate struct {
	value   float64
	updated time.Duration
}

const (
	// usageTime is the time over which the usage of workspaces is averaged.
	usageTime = 2 * time.Second
	// usageInterval is the time between answers with usage to one instance.
	usageInterval = time.Second
	// lenderRetention is the time without requests after which an instance is forgotten. It exceeds the longest loan.
	lenderRetention = 30 * time.Second
	// maxDebt is the debt of a bucket that all coordinators together may have; each has its share of it. It covers the
	// largest usual request (4,000 tokens) while a third of the portions is missing, and is a third of the slack.
	maxDebt = 6000
	// advanceReserve is the part of a bucket that is kept for waiting requests and not granted in advance, in seconds of
	// the rate and as a share of the capacity, whichever is less. Credits in advance may expire unused.
	advanceReserve      = 0.5
	advanceReserveShare = 0.5
)

func (r *decayingRate) add(cost float64, now time.Duration) {
	r.value = r.at(now) + cost/usageTime.Seconds()
	r.updated = max(now, r.updated)
}

func (r *decayingRate) at(now time.Duration) float64 {
	return r.value * math.Exp(-max(now-r.updated, 0).Seconds()/usageTime.Seconds())
}

// NewPool returns a pool without portions. The epoch identifies the process.
func NewPool(epoch int64) *Pool {
	return &Pool{epoch: epoch, lenders: make(map[string]*lender), buckets: make(map[Key]*poolBucket)}
}

// Configure puts limits in force.
func (p *Pool) Configure(limits Limits, now time.Duration) {
	p.refill(now)
	p.limits = limits
	for key := range p.buckets {
		if _, limited := limits.Of[key]; !limited {
			delete(p.buckets, key)
		}
	}
	p.refill(now)
}

// Share returns the share of all portions that is lent to this pool.
func (p *Pool) Share(now time.Duration) float64 {
	if now >= p.nextEnd {
		p.share, p.nextEnd = 0, math.MaxInt64
		for _, b := range p.lenders {
			if now >= b.lentUntil {
				b.portion = 0
				continue
			}
			p.share += b.portion
			p.nextEnd = min(p.nextEnd, b.lentUntil)
		}
	}
	// Instances may count differently while one starts.
	return min(p.share, 1)
}

// refill adds the tokens since the previous call. It counts only portions that are still lent, also for the time before
// the others ended.
func (p *Pool) refill(now time.Duration) float64 {
	share := p.Share(now)
	for key, limit := range p.limits.Of {
		b := p.buckets[key]
		if b == nil {
			b = &poolBucket{bucket: bucket{updated: now}, bookedAt: now}
			p.buckets[key] = b
		}
		b.refill(limit, share, now)
		if share == 0 {
			// The previous coordinator may have left a debt.
			b.level = min(b.level, -min(maxDebt, limit.Rate))
		}
	}
	return share
}

// Receive takes a request and returns the answer, or nil if the request is a late copy. Instances is the number of
// instances that this one counts.
func (p *Pool) Receive(from string, r *Request, instances int, now time.Duration) *Answer {
	p.prune(now)
	b := p.lenders[from]
	if b == nil || b.epoch != r.Epoch {
		// A request of an earlier process that arrives late only shortens the loan.
		if b != nil {
			p.share -= b.portion
		}
		b = &lender{epoch: r.Epoch, used: make(map[Key]int64), usageSentAt: -usageInterval}
		p.lenders[from] = b
	}
	if r.Number <= b.number {
		return nil
	}
	b.number, b.heardAt = r.Number, now
	p.refill(now)
	p.borrow(b, r, now)
	share := p.refill(now)
	answer := &Answer{
		Epoch: p.epoch, Time: now, RequestEpoch: r.Epoch, Request: r.Number, Version: p.limits.Version, Instances: instances,
		Share: int64(share * 1e6),
	}
	for i := range r.Demands {
		if grant, ok := p.grant(b, &r.Demands[i], share, now); ok {
			if r.Version != p.limits.Version {
				grant.Rate = p.limits.Of[grant.Workspace].Rate
			}
			answer.Grants = append(answer.Grants, grant)
		}
	}
	if now-b.usageSentAt >= usageInterval {
		b.usageSentAt = now
		answer.Usage = p.usage(now)
	}
	return answer
}

// borrow counts the loan of a request from the time of this coordinator that the request repeats, which the lender
// received before it sent the request. A late copy therefore ends no later than the original.
func (p *Pool) borrow(b *lender, r *Request, now time.Duration) {
	if r.CoordinatorEpoch != p.epoch || r.LentFor <= 0 || r.Instances <= 0 || r.CoordinatorTime > now {
		return
	}
	lentUntil := r.CoordinatorTime + r.LentFor
	if now >= lentUntil {
		return
	}
	p.share += 1/float64(r.Instances) - b.portion
	b.portion, b.lentUntil = 1/float64(r.Instances), lentUntil
	p.nextEnd = min(p.nextEnd, lentUntil)
}

func (p *Pool) grant(from *lender, d *Demand, share float64, now time.Duration) (Grant, bool) {
	limit, limited := p.limits.Of[d.Workspace]
	if !limited {
		return Grant{}, false
	}
	b := p.buckets[d.Workspace]
	if previous, reported := from.used[d.Workspace]; !reported || d.Used > previous {
		if reported {
			b.usage.add(float64(d.Used-previous), now)
		}
		from.used[d.Workspace] = d.Used
	}
	if len(d.Costs) == 0 && d.Advance == 0 {
		return Grant{}, false
	}
	grant := Grant{Workspace: d.Workspace}
	capacity, rate := max(limit.Burst*share, 0), limit.Rate*share
	b.booked = max(b.booked-rate*max(now-b.bookedAt, 0).Seconds(), 0)
	b.bookedAt = max(now, b.bookedAt)
	for _, cost := range d.Costs {
		if share > 0 && b.take(float64(cost), maxDebt*share) {
			grant.Amount += cost
			continue
		}
		wait := noPoolWait
		if rate > 0 {
			wait = seconds((b.booked + max(-b.level, float64(cost)-maxDebt*share-b.level, 0)) / rate)
		}
		if grant.Wait == 0 {
			grant.Wait = max(wait, time.Millisecond)
		}
		if wait <= d.Patience {
			b.booked += float64(cost)
		}
	}
	reserve := min(limit.Rate*share*advanceReserve, capacity*advanceReserveShare)
	if advance := math.Floor(min(float64(d.Advance), b.level-reserve)); advance > 0 && grant.Wait == 0 {
		b.level -= advance
		grant.Amount += int64(advance)
	}
	return grant, grant.Amount > 0 || grant.Wait > 0
}

// noPoolWait is the wait of a request while nothing is lent; lending takes about as long.
const noPoolWait = time.Second

func (p *Pool) usage(now time.Duration) []Usage {
	var usage []Usage
	for key, b := range p.buckets {
		if perSecond := int64(b.usage.at(now)); perSecond > 0 {
			usage = append(usage, Usage{Workspace: key, PerSecond: perSecond})
		}
	}
	slices.SortFunc(usage, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return usage
}

func (p *Pool) prune(now time.Duration) {
	if now-p.pruned < lenderRetention {
		return
	}
	p.pruned = now
	for name, b := range p.lenders {
		if now-b.heardAt >= lenderRetention {
			p.share -= b.portion
			delete(p.lenders, name)
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e6) * float64(time.Second))
}
