package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// plainEndpoint is an endpoint of a plain service in simulated time: calls beyond its slots wait, calls beyond its queue are
// rejected.
type plainEndpoint struct {
	// factor is the time of work relative to the usual at a time since the start; it is stated. hidden is the same, not
	// stated.
	factor, hidden func(since time.Duration) float64
	// knee is the number of running calls beyond which each one takes longer.
	knee int
	// failing is the share of calls that break off.
	failing float64
	running int
	waiting []func()
	got     int
}

const (
	compareInstances = 21
	compareRate      = 300.0
	compareSlots     = 6
	compareTime      = 20 * time.Second
	compareTarget    = 200 * time.Millisecond
)

func constant(f float64) func(time.Duration) float64 { return func(time.Duration) float64 { return f } }

// compareScenarios returns the endpoints of each scenario.
func compareScenarios() map[string]func(i int, e *plainEndpoint) {
	return map[string]func(i int, e *plainEndpoint){
		"uneven speeds": func(i int, e *plainEndpoint) { e.hidden = constant([]float64{0.7, 0.7, 1, 2, 6, 12}[i]) },
		"noisy neighbour": func(i int, e *plainEndpoint) {
			e.factor = func(since time.Duration) float64 {
				if int(since/(1500*time.Millisecond))%6 == i {
					return 15
				}
				return 1 + 0.3*float64(since/(50*time.Millisecond)%3)
			}
		},
		"warming up": func(i int, e *plainEndpoint) {
			if i < 3 {
				e.hidden = func(since time.Duration) float64 { return max(20-2*since.Seconds(), 1) }
			}
		},
		"slow long before full": func(i int, e *plainEndpoint) {
			e.hidden = constant(3)
			if i < 4 {
				e.knee = 2
			}
		},
		"partial failure": func(i int, e *plainEndpoint) {
			if i == 0 {
				e.failing = 0.4
			}
		},
	}
}

// event is something that happens at a time since the start.
type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// comparison is one run of one policy in one scenario.
type comparison struct {
	policy    string
	random    *rand.Rand
	since     time.Duration
	events    eventQueue
	endpoints []*plainEndpoint
	instances []*Registry
	// outstanding counts the calls of each instance at each endpoint.
	outstanding [compareInstances][]int
	latencies   []time.Duration
	arrivals    int
	rejected    int
	failed      int
}

func (c *comparison) at(after time.Duration, run func()) {
	heap.Push(&c.events, event{c.since + after, run})
}

// send sends one call of an instance to an endpoint. done is called with the result, and with the load that it states.
func (c *comparison) send(instance, endpoint int, done func(result Result, load StatedLoad)) {
	e := c.endpoints[endpoint]
	sent := c.since
	e.got++
	c.outstanding[instance][endpoint]++
	end := func(result Result, rejected bool) {
		c.outstanding[instance][endpoint]--
		if result == Succeeded {
			c.latencies = append(c.latencies, c.since-sent)
		}
		percent := int(100 * e.factor(c.since))
		done(result, StatedLoad{Running: e.running, Waiting: len(e.waiting), Slots: compareSlots, WorkPercent: percent, Rejected: rejected})
	}
	if c.random.Float64() < e.failing {
		c.at(5*time.Millisecond, func() { c.failed++; end(Failed, false) })
		return
	}
	start := func() {
		e.running++
		crowding := max(float64(e.running)/float64(e.knee), 1)
		work := 15 * (0.5 + c.random.Float64()) * e.factor(c.since) * e.hidden(c.since) * crowding * crowding
		c.at(time.Duration(work*float64(time.Millisecond)), func() {
			e.running--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			end(Succeeded, false)
		})
	}
	switch {
	case e.running < compareSlots:
		start()
	case len(e.waiting) < compareSlots:
		e.waiting = append(e.waiting, start)
	default:
		c.rejected++
		end(Neutral, true)
	}
}

// choose returns the endpoint that the policy chooses, and what to do with the response.
func (c *comparison) choose(instance int) (int, func(Result, StatedLoad)) {
	calls := c.outstanding[instance]
	switch c.policy {
	case "fixed weights":
		return c.random.IntN(len(calls)), func(Result, StatedLoad) {}
	case "least outstanding":
		least := c.random.Perm(len(calls))
		return slices.MinFunc(least, func(a, b int) int { return calls[a] - calls[b] }), func(Result, StatedLoad) {}
	case "power of two":
		two := c.random.Perm(len(calls))[:2]
		return slices.MinFunc(two, func(a, b int) int { return calls[a] - calls[b] }), func(Result, StatedLoad) {}
	}
	r, sent := c.instances[instance], now.Add(c.since)
	demand := &Demand{Service: "llm", TimeLeft: 2 * time.Second, Random: c.random.Float64}
	// Equal costs would go by the order of a map.
	distance := func(dataCentre string) Distance {
		return Distance{Latency: time.Duration((int(dataCentre[1]-'0')+instance)%len(calls)) * time.Microsecond}
	}
	choice, call := r.Reserve(demand, distance, sent)
	if call == nil {
		return -1, nil
	}
	return int(choice.ID[1] - '0'), func(result Result, load StatedLoad) {
		at := now.Add(c.since)
		if c.policy == "learned" {
			r.StatedLoad(choice.ID, 1, load, at)
		}
		if result == Succeeded {
			call.Responded(at.Sub(sent), at)
		}
		call.End(result, at)
	}
}

func runComparison(policy string, scenario func(int, *plainEndpoint), seed uint64) *comparison {
	c := &comparison{policy: policy, random: rand.New(rand.NewPCG(seed, 7))}
	for i := range 6 {
		e := &plainEndpoint{factor: constant(1), hidden: constant(1), knee: compareSlots}
		scenario(i, e)
		c.endpoints = append(c.endpoints, e)
	}
	for i := range compareInstances {
		c.outstanding[i] = make([]int, len(c.endpoints))
		r := NewRegistry()
		for id := range c.endpoints {
			r.Announce(Announcement{ID: fmt.Sprintf("e%d", id), Service: "llm", Address: "a", DataCentre: fmt.Sprintf("z%d", id), Lifetime: 1, Slots: compareSlots}, now)
		}
		c.instances = append(c.instances, r)
	}
	var arrive, exchange func()
	arrive = func() {
		c.arrivals++
		instance := c.random.IntN(compareInstances)
		if endpoint, done := c.choose(instance); endpoint >= 0 {
			c.send(instance, endpoint, done)
		} else {
			c.rejected++
		}
		c.at(time.Duration(c.random.ExpFloat64()/compareRate*float64(time.Second)), arrive)
	}
	const interval = 800 * time.Millisecond
	exchange = func() {
		at := now.Add(c.since)
		for i, from := range c.instances {
			work, loads := make(map[EndpointKey]Work), from.LoadsSince(at.Add(-interval), at, 7, false)
			for id, w := range from.OwnWork(at) {
				work[EndpointKeyOf(id)] = w
			}
			for j, to := range c.instances {
				if i != j {
					to.SetRemoteWork(fmt.Sprint(i), work, at)
					to.AddRemoteLoads(loads, at)
				}
			}
		}
		c.at(interval, exchange)
	}
	c.at(0, arrive)
	c.at(0, exchange)
	for c.since < compareTime {
		next := heap.Pop(&c.events).(event)
		c.since = next.at
		next.run()
	}
	return c
}

// inTime returns the share of arrivals that were answered within the target.
func (c *comparison) inTime() float64 {
	count := 0
	for _, l := range c.latencies {
		if l <= compareTarget {
			count++
		}
	}
	return float64(count) / float64(c.arrivals)
}

// Compares ways to choose among plain endpoints, on the same seeds. Guards against a learned choice that is worse than a
// simple one where endpoints differ, and keeps the table of docs/design/endpoint-limits.md reproducible (-v).
func TestLearnedLimitsComparedWithOtherPolicies(t *testing.T) {
	policies := []string{"fixed weights", "least outstanding", "power of two", "before", "learned"}
	seeds := []uint64{1, 2, 3}
	var table strings.Builder
	for _, name := range []string{"uneven speeds", "noisy neighbour", "warming up", "slow long before full", "partial failure"} {
		shares := make(map[string]float64)
		for _, policy := range policies {
			var mean, busiest, rejected, failed float64
			var all []time.Duration
			for _, seed := range seeds {
				c := runComparison(policy, compareScenarios()[name], seed)
				mean += c.inTime() / float64(len(seeds))
				got := 0
				for _, e := range c.endpoints {
					got = max(got, e.got)
				}
				busiest += float64(got*len(c.endpoints)) / float64(c.arrivals) / float64(len(seeds))
				rejected += float64(c.rejected) / float64(c.arrivals) / float64(len(seeds))
				failed += float64(c.failed) / float64(c.arrivals) / float64(len(seeds))
				all = append(all, c.latencies...)
			}
			shares[policy] = mean
			slices.Sort(all)
			fmt.Fprintf(&table, "| %s | %s | %.3f | %d | %d | %.3f | %.3f | %.2f |\n", name, policy, mean, all[len(all)/2].Milliseconds(),
				all[len(all)*99/100].Milliseconds(), rejected, failed, busiest)
		}
		for _, policy := range policies[:4] {
			if shares["learned"] < shares[policy]-0.005 {
				t.Errorf("%s: %.3f in time with learned limits, %.3f with %s", name, shares["learned"], shares[policy], policy)
			}
		}
	}
	t.Logf("in time, median and 99th percentile in ms, rejected, failed, busiest relative to the mean:\n%s", table.String())
}
