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

// The simulated engine runs prefills one after the other and decodes its batch together. The time between tokens grows
// with the batch.
const (
	simBatchSize              = 8
	simPrefillTokensPerSecond = 4000.0
	simBaseTokenInterval      = 8 * time.Millisecond
	simTokenIntervalPerCall   = time.Millisecond
	simBlockTokens            = 64
	simCacheBlocks            = 160
	simTokensPerStep          = 10 // tokens generated between two updates of the token interval
)

type simEngine struct {
	slots chan struct{}

	mu            sync.Mutex
	batch         int
	prefillDoneAt time.Time
	cache         *lru.Cache[uint64, struct{}]
	events        []simEvent
}

// simEvent is a cache event with its time.
type simEvent struct {
	occurredAt time.Time
	engine.CacheEvent
}

// Cache events are delayed by simEventDelay, and every simEventLossInterval-th event is lost.
const (
	simEventDelay        = 300 * time.Millisecond
	simEventLossInterval = 500
)

func newSimEngine() *simEngine {
	e := &simEngine{slots: make(chan struct{}, simBatchSize)}
	cache, err := lru.NewWithEvict(simCacheBlocks, func(hash uint64, _ struct{}) { e.record(hash, false) })
	if err != nil {
		panic(err)
	}
	e.cache = cache
	return e
}

// run generates the response. It stops when the deadline passes, because the caller then disconnects.
func (e *simEngine) run(r *scheduling.Request, output int, tokens func(int)) (finished bool) {
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	time.Sleep(time.Until(e.prefill(r)))
	defer e.finishCall()
	tokens(1)
	for done := 1; done < output; {
		if time.Now().After(r.Deadline) {
			return false
		}
		step := min(simTokensPerStep, output-done)
		time.Sleep(time.Duration(step) * e.tokenInterval())
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
	startAt := time.Now()
	if e.prefillDoneAt.After(startAt) {
		startAt = e.prefillDoneAt
	}
	e.prefillDoneAt = startAt.Add(time.Duration(float64(r.InputTokens-cached) / simPrefillTokensPerSecond * float64(time.Second)))
	return e.prefillDoneAt
}

func (e *simEngine) record(hash uint64, stored bool) {
	event := engine.CacheEvent{Sequence: int64(len(e.events) + 1), Stored: stored, Model: "m", PrefixHash: hash}
	e.events = append(e.events, simEvent{occurredAt: time.Now(), CacheEvent: event})
}

// eventsAfter returns the events after the sequence number whose publication delay has passed, without lost ones.
func (e *simEngine) eventsAfter(sequence int64) []engine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	var published []engine.CacheEvent
	for _, event := range e.events[min(sequence, int64(len(e.events))):] {
		if time.Since(event.occurredAt) >= simEventDelay && event.Sequence%simEventLossInterval != 0 {
			published = append(published, event.CacheEvent)
		}
	}
	return published
}

func (e *simEngine) report(report *engine.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report.Running = e.batch
	report.PrefillTokensPerSecond = simPrefillTokensPerSecond
	report.DecodeTokensPerSecond = float64(e.batch) / (simBaseTokenInterval + time.Duration(e.batch)*simTokenIntervalPerCall).Seconds()
}

func (e *simEngine) finishCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch--
}

func (e *simEngine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return simBaseTokenInterval + time.Duration(e.batch)*simTokenIntervalPerCall
}

// load describes one member's Poisson traffic.
type load struct {
	member         string
	callsPerSecond float64
	deadline       time.Duration
	inputTokens    int
	// outputTokens is the mean of the exponentially distributed response length.
	outputTokens int
	// prefixes is the number of distinct prompt prefixes of prefixBlocks blocks each; zero means none.
	prefixes     int
	prefixBlocks int
}

// arrival is one call of a trace.
type arrival struct {
	offset       time.Duration
	load         *load
	outputTokens int
	prefix       int
	ordinal      int
}

// drawArrivals generates the calls of all loads. A seed gives every policy the same calls.
func drawArrivals(seed uint64, length time.Duration, loads []load) []arrival {
	var arrivals []arrival
	for i := range loads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		l := &loads[i]
		offset := time.Duration(0)
		for {
			offset += time.Duration(random.ExpFloat64() / l.callsPerSecond * float64(time.Second))
			if offset > length {
				break
			}
			a := arrival{offset: offset, load: l, outputTokens: min(4*l.outputTokens, 1+int(random.ExpFloat64()*float64(l.outputTokens)))}
			if l.prefixes > 0 {
				a.prefix = 1 + random.IntN(l.prefixes)
			}
			arrivals = append(arrivals, a)
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.offset - b.offset) })
	for i := range arrivals {
		arrivals[i].ordinal = i
	}
	return arrivals
}

func (a *arrival) request() scheduling.Request {
	r := scheduling.Request{
		ID: fmt.Sprint(a.ordinal), Member: a.load.member, Service: "s", Model: "m",
		InputTokens: a.load.inputTokens, OutputTokens: 4 * a.load.outputTokens, Bytes: 4 * a.load.inputTokens,
		Deadline: time.Now().Add(a.load.deadline),
	}
	for i := range a.load.prefixBlocks {
		r.PrefixHashes = append(r.PrefixHashes, uint64(a.prefix)<<32|uint64(i))
	}
	return r
}

// simResult counts the results of one policy on a trace.
type simResult struct {
	mu              sync.Mutex
	offered         map[string]int
	inTime          map[string]int
	late            int // started but not finished in time
	lateByMember    map[string]int
	refused         map[string]int
	firstTokenTimes []time.Duration
	duration        time.Duration
}

func (o *simResult) attainment(member string) float64 {
	return float64(o.inTime[member]) / float64(o.offered[member])
}

// totalInTime returns the number of calls that finished in time.
func (o *simResult) totalInTime() int {
	sum := 0
	for _, n := range o.inTime {
		sum += n
	}
	return sum
}

func (o *simResult) firstTokenP95() time.Duration {
	slices.Sort(o.firstTokenTimes)
	return o.firstTokenTimes[len(o.firstTokenTimes)*95/100]
}

// policy returns the gate under test for the endpoints of a test environment.
type policy func(s *testEnv) admission.Gate

// simulate runs a trace against a policy with the given number of engines.
func simulate(t *testing.T, engineCount int, records config.Records, arrivals []arrival, p policy) *simResult {
	t.Helper()
	return simulateRouting(t, engineCount, records, arrivals, p, defaultRouting())
}

func simulateRouting(
	t *testing.T, engineCount int, records config.Records, arrivals []arrival, p policy, r routingConfig,
) *simResult {
	t.Helper()
	// A single processor makes the order of simultaneous events depend less on the machine.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	o := &simResult{offered: make(map[string]int), inTime: make(map[string]int), lateByMember: make(map[string]int), refused: make(map[string]int)}
	synctest.Test(t, func(t *testing.T) {
		engines := make(map[string]*simEngine)
		byName := make(map[string]engine.Report)
		for i := range engineCount {
			name := fmt.Sprint("e", i)
			engines[name] = newSimEngine()
			byName[name] = loaded(simBatchSize, "m")
		}
		s := startWith(t, records, &fakeReporter{byName: byName, fillLoad: func(name string, report *engine.Report) {
			engines[name].report(report)
		}, cacheEvents: func(name string, after int64) []engine.CacheEvent {
			return engines[name].eventsAfter(after)
		}}, r)
		defer s.stop()
		if r.secondInstance != nil {
			s.secondInstance = startWith(t, records, s.fakeReporter, defaultRouting())
			defer s.secondInstance.stop()
			stop := r.secondInstance(s, s.secondInstance)
			defer stop()
		}
		gate := p(s)
		startedAt := time.Now()
		var calls sync.WaitGroup
		for i := range arrivals {
			a := &arrivals[i]
			time.Sleep(time.Until(startedAt.Add(a.offset)))
			calls.Add(1)
			go func() {
				defer calls.Done()
				o.runCall(gate, engines, a)
			}()
		}
		calls.Wait()
		o.duration = time.Since(startedAt)
	})
	return o
}

func (o *simResult) runCall(gate admission.Gate, engines map[string]*simEngine, a *arrival) {
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
	var firstTokenTime time.Duration
	finished := engines[ticket.Target().Name].run(&r, a.outputTokens, func(count int) {
		if firstTokenTime == 0 {
			firstTokenTime = time.Since(arrived)
		}
		ticket.RecordTokens(count)
	})
	status := admission.Succeeded
	if !finished {
		status = admission.Cancelled
	}
	ticket.Release(admission.Result{Status: status, InputTokens: r.InputTokens})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.firstTokenTimes = append(o.firstTokenTimes, firstTokenTime)
	if finished {
		o.inTime[a.load.member]++
	} else {
		o.late++
		o.lateByMember[a.load.member]++
	}
}

// fifoGate is the baseline without admission control. Calls wait in one queue in order of arrival, until their deadline
// at most, and start at the endpoint with the fewest calls.
type fifoGate struct {
	mu       sync.Mutex
	queue    []chan string
	inFlight map[string]int
}

func fifo(s *testEnv) admission.Gate {
	g := &fifoGate{inFlight: make(map[string]int)}
	for _, state := range s.registry.States("s") {
		g.inFlight[state.Endpoint.Name] = 0
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
		g.inFlight[<-granted]--
		g.dispatch()
	}
	return nil, ctx.Err()
}

func (g *fifoGate) dispatch() {
	for len(g.queue) > 0 {
		best := ""
		for name, inFlight := range g.inFlight {
			if inFlight < simBatchSize && (best == "" || inFlight < g.inFlight[best] || inFlight == g.inFlight[best] && name < best) {
				best = name
			}
		}
		if best == "" {
			return
		}
		g.inFlight[best]++
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
func (t *fifoTicket) RecordTokens(int)              {}

func (t *fifoTicket) Release(admission.Result) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.inFlight[t.name]--
	t.gate.dispatch()
}
