package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
)

// The simulated engine runs prefills one after the other and decodes its batch together; the time between tokens grows
// with the batch.
const (
	simBatch         = 8
	simPrefillRate   = 4000.0 // tokens per second
	simBaseInterval  = 8 * time.Millisecond
	simBatchInterval = time.Millisecond
	simBlockTokens   = 64
	simCacheBlocks   = 160
	simStep          = 10 // tokens per simulated decode step
)

type simEngine struct {
	slots chan struct{}

	mu          sync.Mutex
	batch       int
	prefillFree time.Time
	cache       *lru.Cache[uint64, struct{}]
	events      []simEvent
}

// simEvent is a cache event and when it happened.
type simEvent struct {
	at time.Time
	engine.CacheEvent
}

// Cache events come late, and one of simLostEvents is lost.
const (
	simEventDelay = 300 * time.Millisecond
	simLostEvents = 500
)

func newSimEngine() *simEngine {
	e := &simEngine{slots: make(chan struct{}, simBatch)}
	cache, err := lru.NewWithEvict(simCacheBlocks, func(hash uint64, _ struct{}) { e.record(hash, false) })
	if err != nil {
		panic(err)
	}
	e.cache = cache
	return e
}

// run generates the response; it stops early when the deadline passes, as the caller leaves then.
func (e *simEngine) run(r *scheduling.Request, output int, tokens func(int)) (finished bool) {
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	time.Sleep(time.Until(e.prefill(r)))
	defer e.leave()
	tokens(1)
	for done := 1; done < output; {
		if time.Now().After(r.Deadline) {
			return false
		}
		step := min(simStep, output-done)
		time.Sleep(time.Duration(step) * e.interval())
		tokens(step)
		done += step
	}
	return !time.Now().After(r.Deadline)
}

func (e *simEngine) prefill(r *scheduling.Request) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch++
	cached := 0
	for _, hash := range r.PrefixHashes {
		if _, ok := e.cache.Get(hash); !ok {
			break
		}
		cached += simBlockTokens
	}
	for _, hash := range r.PrefixHashes {
		if !e.cache.Contains(hash) {
			e.record(hash, true)
		}
		e.cache.Add(hash, struct{}{})
	}
	begin := time.Now()
	if e.prefillFree.After(begin) {
		begin = e.prefillFree
	}
	e.prefillFree = begin.Add(time.Duration(float64(r.InputTokens-cached) / simPrefillRate * float64(time.Second)))
	return e.prefillFree
}

func (e *simEngine) record(hash uint64, stored bool) {
	event := engine.CacheEvent{Sequence: int64(len(e.events) + 1), Stored: stored, Model: "m", PrefixHash: hash}
	e.events = append(e.events, simEvent{at: time.Now(), CacheEvent: event})
}

// eventsAfter returns the events that are old enough to be published.
func (e *simEngine) eventsAfter(sequence int64) []engine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	var published []engine.CacheEvent
	for _, event := range e.events[min(sequence, int64(len(e.events))):] {
		if time.Since(event.at) >= simEventDelay && event.Sequence%simLostEvents != 0 {
			published = append(published, event.CacheEvent)
		}
	}
	return published
}

func (e *simEngine) report(report *engine.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report.Running = e.batch
	report.PrefillTokensPerSecond = simPrefillRate
	report.DecodeTokensPerSecond = float64(e.batch) / (simBaseInterval + time.Duration(e.batch)*simBatchInterval).Seconds()
}

func (e *simEngine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch--
}

func (e *simEngine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return simBaseInterval + time.Duration(e.batch)*simBatchInterval
}

// load is one member's Poisson traffic.
type load struct {
	member   string
	perSec   float64
	deadline time.Duration
	input    int
	// output is the mean of the exponentially distributed response length.
	output int
	// prefixes is the number of different prompt beginnings, each of prefixBlocks blocks; zero means none.
	prefixes     int
	prefixBlocks int
}

// arrival is one call of a trace.
type arrival struct {
	at      time.Duration
	load    *load
	output  int
	prefix  int
	ordinal int
}

// trace draws the calls of all loads, which are the same for every policy of a seed.
func trace(seed uint64, length time.Duration, loads []load) []arrival {
	var arrivals []arrival
	for i := range loads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		l := &loads[i]
		at := time.Duration(0)
		for {
			at += time.Duration(random.ExpFloat64() / l.perSec * float64(time.Second))
			if at > length {
				break
			}
			a := arrival{at: at, load: l, output: min(4*l.output, 1+int(random.ExpFloat64()*float64(l.output)))}
			if l.prefixes > 0 {
				a.prefix = 1 + random.IntN(l.prefixes)
			}
			arrivals = append(arrivals, a)
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range arrivals {
		arrivals[i].ordinal = i
	}
	return arrivals
}

func (a *arrival) request() scheduling.Request {
	r := scheduling.Request{
		ID: fmt.Sprint(a.ordinal), Member: a.load.member, Service: "s", Model: "m",
		InputTokens: a.load.input, OutputTokens: 4 * a.load.output, Bytes: 4 * a.load.input,
		Deadline: time.Now().Add(a.load.deadline),
	}
	for i := range a.load.prefixBlocks {
		r.PrefixHashes = append(r.PrefixHashes, uint64(a.prefix)<<32|uint64(i))
	}
	return r
}

// outcome is what one policy achieved on a trace.
type outcome struct {
	mu       sync.Mutex
	offered  map[string]int
	inTime   map[string]int
	late     int // started but not finished in time
	lateBy   map[string]int
	refused  map[string]int
	firsts   []time.Duration
	finished time.Duration
}

func (o *outcome) attainment(member string) float64 {
	return float64(o.inTime[member]) / float64(o.offered[member])
}

// total is the number of calls that finished in time.
func (o *outcome) total() int {
	sum := 0
	for _, n := range o.inTime {
		sum += n
	}
	return sum
}

func (o *outcome) firstTokenP95() time.Duration {
	slices.Sort(o.firsts)
	return o.firsts[len(o.firsts)*95/100]
}

// policy builds the gate under test in front of the endpoints that the system declares.
type policy func(s *system) admission.Gate

// simulate plays a trace against a policy in front of n engines.
func simulate(t *testing.T, n int, records config.Records, arrivals []arrival, p policy) *outcome {
	t.Helper()
	return simulateRouting(t, n, records, arrivals, p, defaultRouting())
}

func simulateRouting(
	t *testing.T, n int, records config.Records, arrivals []arrival, p policy, r routing,
) *outcome {
	t.Helper()
	// One processor at a time makes the order of events at the same instant depend less on the machine.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	o := &outcome{offered: make(map[string]int), inTime: make(map[string]int), lateBy: make(map[string]int), refused: make(map[string]int)}
	synctest.Test(t, func(t *testing.T) {
		engines := make(map[string]*simEngine)
		byName := make(map[string]engine.Report)
		for i := range n {
			name := fmt.Sprint("e", i)
			engines[name] = newSimEngine()
			byName[name] = loaded(simBatch, "m")
		}
		s := startWith(t, records, &reports{byName: byName, live: func(name string, report *engine.Report) {
			engines[name].report(report)
		}, events: func(name string, after int64) []engine.CacheEvent {
			return engines[name].eventsAfter(after)
		}}, r)
		defer s.stop()
		if r.second != nil {
			s.second = startWith(t, records, s.reports, defaultRouting())
			defer s.second.stop()
			stop := r.second(s, s.second)
			defer stop()
		}
		gate := p(s)
		began := time.Now()
		var calls sync.WaitGroup
		for i := range arrivals {
			a := &arrivals[i]
			time.Sleep(time.Until(began.Add(a.at)))
			calls.Add(1)
			go func() {
				defer calls.Done()
				o.play(gate, engines, a)
			}()
		}
		calls.Wait()
		o.finished = time.Since(began)
	})
	return o
}

func (o *outcome) play(gate admission.Gate, engines map[string]*simEngine, a *arrival) {
	arrived := time.Now()
	r := a.request()
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	ticket, err := gate.Acquire(ctx, r)
	o.mu.Lock()
	o.offered[a.load.member]++
	if refused, ok := err.(*problem.Problem); ok {
		o.refused[a.load.member+" "+path.Base(string(refused.Type))]++
	}
	o.mu.Unlock()
	if err != nil {
		return
	}
	var first time.Duration
	finished := engines[ticket.Target().Name].run(&r, a.output, func(count int) {
		if first == 0 {
			first = time.Since(arrived)
		}
		ticket.Tokens(count)
	})
	status := admission.Succeeded
	if !finished {
		status = admission.Cancelled
	}
	ticket.Release(admission.Result{Status: status, InputTokens: r.InputTokens})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.firsts = append(o.firsts, first)
	if finished {
		o.inTime[a.load.member]++
	} else {
		o.late++
		o.lateBy[a.load.member]++
	}
}

// fifoGate is the baseline without admission control: one queue in order of arrival, in which calls wait until their
// deadline, and the endpoint with the fewest calls.
type fifoGate struct {
	mu    sync.Mutex
	queue []chan string
	used  map[string]int
}

func fifo(s *system) admission.Gate {
	g := &fifoGate{used: make(map[string]int)}
	for _, state := range s.registry.States("s") {
		g.used[state.Endpoint.Name] = 0
	}
	return g
}

func (g *fifoGate) Acquire(ctx context.Context, _ scheduling.Request) (admission.Ticket, error) {
	g.mu.Lock()
	granted := make(chan string, 1)
	g.queue = append(g.queue, granted)
	g.dispatch()
	g.mu.Unlock()
	select {
	case name := <-granted:
		return &fifoTicket{gate: g, name: name}, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.queue, granted); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
	} else {
		g.used[<-granted]--
		g.dispatch()
	}
	return nil, ctx.Err()
}

func (g *fifoGate) dispatch() {
	for len(g.queue) > 0 {
		best := ""
		for name, used := range g.used {
			if used < simBatch && (best == "" || used < g.used[best] || used == g.used[best] && name < best) {
				best = name
			}
		}
		if best == "" {
			return
		}
		g.used[best]++
		g.queue[0] <- best
		g.queue = g.queue[1:]
	}
}

type fifoTicket struct {
	gate *fifoGate
	name string
}

func (t *fifoTicket) Target() engine.Target         { return engine.Target{Name: t.name} }
func (t *fifoTicket) Decision() scheduling.Decision { return scheduling.Decision{} }
func (t *fifoTicket) Tokens(int)                    {}

func (t *fifoTicket) Release(admission.Result) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.used[t.name]--
	t.gate.dispatch()
}
