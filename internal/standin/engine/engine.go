package engine

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/standin/process"
	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// Timing holds the durations and rates of the emulated engine in model time; Options.TimeScale converts them to wall
// time.
type Timing struct {
	PrefillTokensPerSecond float64
	// TokenInterval is the time between two tokens of a request that runs alone; each further request in the batch adds
	// TokenIntervalPerRequest.
	TokenInterval           time.Duration
	TokenIntervalPerRequest time.Duration
	ModelLoad               time.Duration
	AdapterLoad             time.Duration
	Unload                  time.Duration
	// ReportLag is the age of the load figures in a report. The artifacts in it are current.
	ReportLag time.Duration
	// CacheEventLag is the time until a cache event can be read.
	CacheEventLag time.Duration
	// ResumeWindow is how long a stream without a reader is kept before it is cancelled. It is wall time.
	ResumeWindow time.Duration
}

// DefaultTiming returns figures of a medium-sized model.
func DefaultTiming() Timing {
	return Timing{
		PrefillTokensPerSecond:  8000,
		TokenInterval:           12 * time.Millisecond,
		TokenIntervalPerRequest: 300 * time.Microsecond,
		ModelLoad:               20 * time.Second,
		AdapterLoad:             20 * time.Millisecond,
		Unload:                  10 * time.Millisecond,
		ReportLag:               500 * time.Millisecond,
		CacheEventLag:           200 * time.Millisecond,
		ResumeWindow:            5 * time.Second,
	}
}

// Options configures an Engine.
type Options struct {
	// Memory executes the orders; nil means one accelerator of 80 GB that checks fencing numbers.
	Memory *Memory
	// Faults may be shared with the test; nil means none.
	Faults *Faults
	Timing Timing
	// TimeScale is wall time per model time; zero means that nothing waits.
	TimeScale float64
	// Seed determines the generated text and which cache events are lost.
	Seed uint64
	// MaxRunning bounds the batch and MaxWaiting the queue; zero means 32 and 256.
	MaxRunning int
	MaxWaiting int
	// OutputTokens is the length of a response to a request without a limit; zero means 16.
	OutputTokens int
	// CacheBlocks bounds the prefix cache; zero means 4096.
	CacheBlocks int
	// CacheEventLoss is the share of cache events that are lost, 0 to 1.
	CacheEventLoss float64
	// NoResume makes the engine refuse to resume streams.
	NoResume bool
	// ServeAll makes the engine serve models that are not loaded.
	ServeAll bool
	// Role in reports is the memory's role; Leaving makes reports say that the engine leaves.
	Leaving bool
}

// Engine is a stand-in of a model engine over HTTP. It is safe for concurrent use.
type Engine struct {
	options Options
	memory  *Memory
	faults  *Faults
	cache   *prefixCache
	batch   *batch
	server  *process.Server
	// modelLoad is Timing.ModelLoad in nanoseconds until SetModelLoad.
	modelLoad atomic.Int64
	// first is the incarnation before any restart.
	first string

	mu       sync.Mutex
	starts   int
	runs     map[string]*run
	executed map[string]int
	leaving  bool
	report   engine.Report
	reported time.Time
}

// New returns an engine; Serve runs it.
func New(options Options) *Engine {
	if options.Memory == nil {
		options.Memory = NewMemory([]int64{80 << 30}, "1", true)
	}
	if options.Faults == nil {
		options.Faults = NewFaults()
	}
	setDefault(&options.MaxRunning, 32)
	setDefault(&options.MaxWaiting, 256)
	setDefault(&options.OutputTokens, 16)
	setDefault(&options.CacheBlocks, 4096)
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	e := &Engine{
		options:  options,
		memory:   options.Memory,
		faults:   options.Faults,
		batch:    newBatch(options.MaxRunning, options.MaxWaiting),
		runs:     make(map[string]*run),
		executed: make(map[string]int),
		leaving:  options.Leaving,
		first:    options.Memory.Incarnation(),
	}
	e.modelLoad.Store(int64(options.Timing.ModelLoad))
	e.server = process.NewServer(e.handle)
	e.cache = newPrefixCache(options.CacheBlocks, options.CacheEventLoss, options.Seed)
	return e
}

func setDefault(value *int, fallback int) {
	if *value <= 0 {
		*value = fallback
	}
}

// Memory returns the accelerator memory.
func (e *Engine) Memory() *Memory { return e.memory }

// Faults returns the fault set.
func (e *Engine) Faults() *Faults { return e.faults }

// SetLeaving makes reports say whether the engine leaves.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.reported = time.Time{}
}

// SetModelLoad changes the duration of later loads of models, in model time.
func (e *Engine) SetModelLoad(span time.Duration) {
	e.modelLoad.Store(int64(span))
}

// Executions returns how many runs were started for a request id, over all incarnations.
func (e *Engine) Executions(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executed[requestID]
}

// TotalExecutions returns how many runs were started.
func (e *Engine) TotalExecutions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, n := range e.executed {
		total += n
	}
	return total
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int {
	running, _ := e.batch.counts()
	return running
}

// Serve accepts connections until Close. After Down it listens on the same address again at Up.
func (e *Engine) Serve(listener net.Listener) error { return e.server.Serve(listener) }

// Start serves on a free loopback port and returns the base URL.
func (e *Engine) Start() (string, error) { return e.server.Start() }

// Down ends the process: connections break, new ones are refused, requests in progress are lost and the memory is empty
// under a new incarnation.
func (e *Engine) Down() {
	e.server.Down(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.starts++
		e.memory.Restart(fmt.Sprintf("%s+%d", e.first, e.starts))
		e.runs = make(map[string]*run)
		e.reported = time.Time{}
		e.cache.reset()
	})
}

// Up starts a process after Down; it does nothing while one runs or after Close.
func (e *Engine) Up() error { return e.server.Up() }

// Connections returns the number of connections that the current process has accepted.
func (e *Engine) Connections() int { return e.server.Accepted() }

// Quiesce waits until no request is being handled, requests of ended processes included.
func (e *Engine) Quiesce() { e.server.Quiesce() }

// Close ends the process for good, makes Serve return and waits for what Start began.
func (e *Engine) Close() { e.server.Close() }

// sleep waits for a span of model time; it returns false when the context ended first.
func (e *Engine) sleep(ctx context.Context, span time.Duration) bool {
	return timing.Sleep(ctx, e.wall(span)) == nil
}

func (e *Engine) wall(span time.Duration) time.Duration {
	return time.Duration(float64(span) * e.options.TimeScale)
}
