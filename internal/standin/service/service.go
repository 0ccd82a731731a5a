// Package service is a stand-in of a plain HTTP service, such as an order desk. It counts the executions of each order,
// so that a test can tell whether a call ran twice.
package service

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/internal/standin/process"
)

// Fault is what happens to one call.
type Fault struct {
	// Delay is waited before the call takes effect.
	Delay time.Duration `json:"delayNs,omitempty"`
	// Refuse answers 503 with X-Not-Run; Status answers that status without a statement. Neither takes effect.
	Refuse bool `json:"refuse,omitempty"`
	Status int  `json:"status,omitempty"`
	// Lose closes the connection without effect; DropReply and TruncateBody take effect first.
	Lose         bool `json:"lose,omitempty"`
	DropReply    bool `json:"dropReply,omitempty"`
	TruncateBody bool `json:"truncateBody,omitempty"`
	// Hook runs after the request was read and before the call takes effect.
	Hook func() `json:"-"`
}

// Load is the reply to GET /load. Its fields are those of engine.Report that apply to a plain service.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	MaxRunning  int    `json:"maxRunning"`
	Leaving     bool   `json:"leaving"`
}

// Options configures a Service.
type Options struct {
	// Latency is how long each call takes.
	Latency time.Duration
	// MaxRunning bounds concurrent calls; further ones are answered 503 with X-Not-Run. Zero means 64.
	MaxRunning  int
	Incarnation string
}

// Service is a stand-in of a plain HTTP service. Any method and path outside of /load and /faults runs the order named
// by the field orderId of the JSON body, or by the path without such a field. It is safe for concurrent use.
type Service struct {
	options Options
	server  *process.Server

	mu       sync.Mutex
	queued   []Fault
	always   Fault
	calls    int
	running  int
	leaving  bool
	executed map[string]int
}

// New returns a service; Serve or Start runs it.
func New(options Options) *Service {
	if options.MaxRunning <= 0 {
		options.MaxRunning = 64
	}
	s := &Service{options: options, executed: make(map[string]int)}
	s.server = process.NewServer(s.handle)
	return s
}

// Serve accepts connections until Close.
func (s *Service) Serve(listener net.Listener) error { return s.server.Serve(listener) }

// Start serves on a free loopback port and returns the base URL.
func (s *Service) Start() (string, error) { return s.server.Start() }

// Down breaks connections and refuses new ones; executions stay counted.
func (s *Service) Down() { s.server.Down(func() {}) }

// Up ends Down.
func (s *Service) Up() error { return s.server.Up() }

// Close ends the service and waits for what Start began.
func (s *Service) Close() { s.server.Close() }

// Next queues a fault for the next call.
func (s *Service) Next(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued = append(s.queued, fault)
}

// Always sets the fault of each call without a queued one.
func (s *Service) Always(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.always = fault
}

// SetLeaving makes load reports say whether the service leaves.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Calls returns the number of calls that were read.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Executions returns how often the order ran.
func (s *Service) Executions(orderID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[orderID]
}

// AllExecutions returns how often each order ran.
func (s *Service) AllExecutions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.executed))
	for id, n := range s.executed {
		all[id] = n
	}
	return all
}

func (s *Service) handle(p *process.Process, ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load":
		s.serveLoad(ctx)
	case "/faults":
		s.ServeFaults(ctx)
	default:
		s.serveCall(p, ctx)
	}
}

func (s *Service) serveLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	load := Load{Incarnation: s.options.Incarnation, Running: s.running, MaxRunning: s.options.MaxRunning, Leaving: s.leaving}
	s.mu.Unlock()
	reply(ctx, fasthttp.StatusOK, load)
}

func reply(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func replyNotRun(ctx *fasthttp.RequestCtx) {
	reply(ctx, fasthttp.StatusServiceUnavailable, map[string]string{"error": "refused"})
	ctx.Response.Header.Set("X-Not-Run", "true")
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
}

func (s *Service) serveCall(p *process.Process, ctx *fasthttp.RequestCtx) {
	fault, admitted := s.begin()
	if !admitted {
		replyNotRun(ctx)
		return
	}
	defer s.end()
	ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
	if fault.Hook != nil {
		fault.Hook()
	}
	if !p.Wait(fault.Delay) {
		process.Drop(ctx)
		return
	}
	switch {
	case fault.Lose:
		process.Drop(ctx)
		return
	case fault.Refuse:
		replyNotRun(ctx)
		return
	case fault.Status > 0:
		reply(ctx, fault.Status, map[string]string{"error": "fault"})
		return
	}
	order := orderID(ctx)
	if !p.Wait(s.options.Latency) {
		process.Drop(ctx)
		return
	}
	n := s.execute(order)
	if fault.DropReply {
		process.Drop(ctx)
		return
	}
	reply(ctx, fasthttp.StatusOK, map[string]any{"orderId": order, "executions": n})
	if fault.TruncateBody {
		process.Truncate(ctx)
	}
}

func (s *Service) begin() (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.running >= s.options.MaxRunning {
		return Fault{}, false
	}
	s.running++
	if len(s.queued) == 0 {
		return s.always, true
	}
	fault := s.queued[0]
	s.queued = s.queued[1:]
	return fault, true
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) execute(order string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executed[order]++
	return s.executed[order]
}

func orderID(ctx *fasthttp.RequestCtx) string {
	var body struct {
		OrderID string `json:"orderId"`
	}
	if json.Unmarshal(ctx.PostBody(), &body) == nil && body.OrderID != "" {
		return body.OrderID
	}
	return string(ctx.Path())
}

// ServeFaults queues the fault in the body, makes it permanent with ?always=true, or removes all with DELETE.
func (s *Service) ServeFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsDelete() {
		s.mu.Lock()
		s.queued, s.always = nil, Fault{}
		s.mu.Unlock()
		return
	}
	var fault Fault
	if err := json.Unmarshal(ctx.PostBody(), &fault); err != nil {
		reply(ctx, fasthttp.StatusBadRequest, map[string]string{"error": "body is not a fault"})
		return
	}
	if ctx.QueryArgs().GetBool("always") {
		s.Always(fault)
		return
	}
	s.Next(fault)
}
