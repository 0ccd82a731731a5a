package engine

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

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
	server  conc.WaitGroup

	mu       sync.Mutex
	process  *process
	starts   int
	runs     map[string]*run
	executed map[string]int
	leaving  bool
	closed   bool
	address  string
	started  chan *process
	report   engine.Report
	reported time.Time
}

// process is what ends with one incarnation: its context, connections and goroutines.
type process struct {
	ctx      context.Context
	cancel   context.CancelFunc
	workers  conc.WaitGroup
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	down  bool
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
		started:  make(chan *process, 1),
	}
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
func (e *Engine) Serve(listener net.Listener) error {
	e.mu.Lock()
	e.address = listener.Addr().String()
	e.startProcess(listener)
	e.mu.Unlock()
	e.serve()
	return nil
}

// Start serves on a free loopback port and returns the base URL; Close ends it.
func (e *Engine) Start() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	e.mu.Lock()
	e.address = listener.Addr().String()
	e.startProcess(listener)
	e.mu.Unlock()
	e.server.Go(e.serve)
	return "http://" + listener.Addr().String(), nil
}

// startProcess hands a new process to serve. The caller holds e.mu.
func (e *Engine) startProcess(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	e.process = &process{ctx: ctx, cancel: cancel, listener: listener, conns: make(map[net.Conn]struct{})}
	e.started <- e.process
}

// serve runs one process after the other until Close.
func (e *Engine) serve() {
	for p := range e.started {
		server := &fasthttp.Server{
			Handler:               func(ctx *fasthttp.RequestCtx) { e.handle(p, ctx) },
			MaxRequestBodySize:    256 << 20,
			NoDefaultServerHeader: true,
			Logger:                log.New(io.Discard, "", 0),
			CloseOnShutdown:       true,
		}
		_ = server.Serve(&trackedListener{Listener: p.listener, process: p})
	}
}

// Down ends the process: connections break, new ones are refused, requests in progress are lost and the memory is empty
// under a new incarnation.
func (e *Engine) Down() {
	e.mu.Lock()
	p := e.process
	e.process = nil
	e.mu.Unlock()
	if p == nil {
		return
	}
	p.stop()
	p.workers.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.memory.Restart(fmt.Sprintf("%s+%d", e.address, e.starts))
	e.runs = make(map[string]*run)
	e.reported = time.Time{}
	e.cache.reset()
}

// Up starts a process after Down; it does nothing while one runs or after Close.
func (e *Engine) Up() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.process != nil {
		return nil
	}
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.startProcess(listener)
	return nil
}

// Close ends the process for good and makes Serve return. It waits for the server that Start began.
func (e *Engine) Close() {
	e.Down()
	e.mu.Lock()
	if !e.closed {
		e.closed = true
		close(e.started)
	}
	e.mu.Unlock()
	e.Down()
	e.server.Wait()
}

// sleep waits for a span of model time; it returns false when the context ended first.
func (e *Engine) sleep(ctx context.Context, span time.Duration) bool {
	wall := e.wall(span)
	if wall <= 0 {
		return ctx.Err() == nil
	}
	return wait(ctx, wall)
}

func (e *Engine) wall(span time.Duration) time.Duration {
	return time.Duration(float64(span) * e.options.TimeScale)
}

func wait(ctx context.Context, wall time.Duration) bool {
	timer := time.NewTimer(wall)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (p *process) stop() {
	p.cancel()
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// trackedListener registers connections with their process, so that they break when it ends.
type trackedListener struct {
	net.Listener
	process *process
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.process.mu.Lock()
	defer l.process.mu.Unlock()
	if l.process.down {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.process.conns[conn] = struct{}{}
	return &trackedConn{Conn: conn, process: l.process}, nil
}

type trackedConn struct {
	net.Conn
	process *process
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.process.mu.Lock()
	delete(c.process.conns, c.Conn)
	c.process.mu.Unlock()
	return c.Conn.Close()
}
