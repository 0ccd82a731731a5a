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

// Timing holds the durations and rates of the emulated engine in simulated time. Options.TimeScale converts them to
// wall time.
type Timing struct {
	PrefillTokensPerSecond float64
	// TokenInterval is the time between two tokens of a request that runs alone. Each further request in the batch adds
	// TokenIntervalPerRequest.
	TokenInterval           time.Duration
	TokenIntervalPerRequest time.Duration
	ModelLoad               time.Duration
	AdapterLoad             time.Duration
	Unload                  time.Duration
	// ReportLag is the maximum age of the load figures in a report. The artifacts in it are current.
	ReportLag time.Duration
	// CacheEventLag is the delay until a cache event can be read.
	CacheEventLag time.Duration
	// ResumeWindow is the time after which a stream without a reader is cancelled. It is wall time.
	ResumeWindow time.Duration
}

// DefaultTiming returns the timing of a medium-sized model.
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

// Options are the parameters of New.
type Options struct {
	// Memory executes the orders; nil means one accelerator with 80 GiB that checks fencing tokens.
	Memory *Memory
	// Faults are the faults to inject, which a test may change while the engine runs; nil means none.
	Faults *Faults
	Timing Timing
	// TimeScale is the ratio of wall time to simulated time; zero removes all delays in simulated time.
	TimeScale float64
	// Seed determines the generated text and which cache events are lost.
	Seed uint64
	// MaxRunning limits the batch and MaxWaiting the queue; zero means 32 and 256.
	MaxRunning int
	MaxWaiting int
	// OutputTokens is the length of a response if the request has no token limit; zero means 16.
	OutputTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks; zero means 4096.
	CacheBlocks int
	// CacheEventLoss is the fraction of cache events that are lost, 0 to 1.
	CacheEventLoss float64
	// NoResume makes the engine reject requests to resume a stream.
	NoResume bool
	// ServeAll makes the engine serve models that are not loaded.
	ServeAll bool
	// Leaving is the value in effect until SetLeaving changes it. The role in load reports is that of Memory.
	Leaving bool
}

// Engine is a stand-in for a model engine with an HTTP API. It is safe for concurrent use.
type Engine struct {
	options Options
	memory  *Memory
	faults  *Faults
	cache   *prefixCache
	batch   *batch
	server  *process.Server
	// modelLoadTime is in nanoseconds of simulated time. It is Timing.ModelLoad until SetModelLoadTime changes it.
	modelLoadTime atomic.Int64
	// initialIncarnation is the incarnation before the first restart.
	initialIncarnation string

	mu         sync.Mutex
	restarts   int
	runs       map[string]*run
	executions map[string]int
	leaving    bool
	lastLoad   engine.Report
	lastLoadAt time.Time
}

// New returns an engine; Serve or Start runs it.
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
		options:            options,
		memory:             options.Memory,
		faults:             options.Faults,
		batch:              newBatch(options.MaxRunning, options.MaxWaiting),
		runs:               make(map[string]*run),
		executions:         make(map[string]int),
		leaving:            options.Leaving,
		initialIncarnation: options.Memory.Incarnation(),
	}
	e.modelLoadTime.Store(int64(options.Timing.ModelLoad))
	e.server = process.NewServer(e.handle)
	e.cache = newPrefixCache(options.CacheBlocks, options.CacheEventLoss, options.Seed)
	return e
}

func setDefault(value *int, fallback int) {
	if *value <= 0 {
		*value = fallback
	}
}

// Memory returns the memory model of the engine.
func (e *Engine) Memory() *Memory { return e.memory }

// Faults returns the faults that the engine injects.
func (e *Engine) Faults() *Faults { return e.faults }

// SetLeaving sets whether reports announce that the engine is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.lastLoadAt = time.Time{}
}

// SetModelLoadTime changes the duration of later model loads, in simulated time.
func (e *Engine) SetModelLoadTime(simulatedTime time.Duration) {
	e.modelLoadTime.Store(int64(simulatedTime))
}

// Executions returns the number of runs started for a request id, over all incarnations.
func (e *Engine) Executions(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[requestID]
}

// TotalExecutions returns the number of runs started for all request ids.
func (e *Engine) TotalExecutions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, n := range e.executions {
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

// Down ends the process: its connections are closed, new ones are refused and requests in progress are lost. The memory
// is emptied and gets a new incarnation.
func (e *Engine) Down() {
	e.server.Down(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.restarts++
		e.memory.Restart(fmt.Sprintf("%s+%d", e.initialIncarnation, e.restarts))
		e.runs = make(map[string]*run)
		e.lastLoadAt = time.Time{}
		e.cache.reset()
	})
}

// Up starts a process after Down. It does nothing while a process is running or after Close.
func (e *Engine) Up() error { return e.server.Up() }

// Connections returns the number of connections that the current process has accepted.
func (e *Engine) Connections() int { return e.server.Accepted() }

// WaitIdle waits until no request is being handled, including requests of ended processes.
func (e *Engine) WaitIdle() { e.server.WaitIdle() }

// Close ends the process permanently, makes Serve return and waits for the goroutine of Start.
func (e *Engine) Close() { e.server.Close() }

// sleep waits for a duration of simulated time. It returns false if the context ends first.
func (e *Engine) sleep(ctx context.Context, simulatedTime time.Duration) bool {
	return timing.Sleep(ctx, e.wallTime(simulatedTime)) == nil
}

func (e *Engine) wallTime(simulatedTime time.Duration) time.Duration {
	return time.Duration(float64(simulatedTime) * e.options.TimeScale)
}
