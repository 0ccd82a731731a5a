// Package service is a stand-in for a plain HTTP service that processes orders. It counts the executions of each order,
// so that a test can detect a call that ran twice.
package service

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/internal/standin/process"
)

// Fault is a set of faults to inject into one call.
type Fault struct {
	// Delay is the time before the call takes effect.
	Delay time.Duration `json:"delayNs,omitempty"`
	// Refuse responds with 503 and X-Not-Run. Status, when positive, is the status of a response without X-Not-Run. In
	// both cases the call takes no effect.
	Refuse bool `json:"refuse,omitempty"`
	Status int  `json:"status,omitempty"`
	// DropRequest closes the connection before the call takes effect, DropReply after it. TruncateBody sends half of the
	// body after the effect.
	DropRequest  bool `json:"lose,omitempty"`
	DropReply    bool `json:"dropReply,omitempty"`
	TruncateBody bool `json:"truncateBody,omitempty"`
	// Hook runs after the request is read and before the call takes effect.
	Hook func() `json:"-"`
}

// Load is the response to GET /load. It has the fields of engine.Report that apply to a plain service.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	MaxRunning  int    `json:"maxRunning"`
	Leaving     bool   `json:"leaving"`
}

// Options are the parameters of New.
type Options struct {
	// Latency is the duration of each call.
	Latency time.Duration
	// MaxRunning limits concurrent calls; calls above the limit get 503 with X-Not-Run. Zero means 64.
	MaxRunning  int
	Incarnation string
}

// Service is a stand-in for a plain HTTP service. A request with any method and any path except /load and /faults
// executes an order. The id of the order is the field orderId of the JSON body or, without that field, the path. A
// Service is safe for concurrent use.
type Service struct {
	options Options
	server  *process.Server

	mu           sync.Mutex
	queued       []Fault
	defaultFault Fault
	calls        int
	running      int
	leaving      bool
	executions   map[string]int
}

// New returns a service; Serve or Start runs it.
func New(options Options) *Service {
	if options.MaxRunning <= 0 {
		options.MaxRunning = 64
	}
	s := &Service{options: options, executions: make(map[string]int)}
	s.server = process.NewServer(s.handle)
	return s
}

// Serve accepts connections until Close.
func (s *Service) Serve(listener net.Listener) error { return s.server.Serve(listener) }

// Start serves on a free loopback port and returns the base URL.
func (s *Service) Start() (string, error) { return s.server.Start() }

// Down closes all connections and refuses new ones. The counts of executions are kept.
func (s *Service) Down() { s.server.Down(func() {}) }

// Up accepts connections again after Down.
func (s *Service) Up() error { return s.server.Up() }

// Close ends the service and waits for the goroutine of Start.
func (s *Service) Close() { s.server.Close() }

// QueueFault queues a fault for the next call.
func (s *Service) QueueFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued = append(s.queued, fault)
}

// SetDefaultFault sets the fault for all calls that have no queued fault.
func (s *Service) SetDefaultFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.defaultFault = fault
}

// SetLeaving sets whether load reports announce that the service is leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Calls returns the number of calls that have been read.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Executions returns how often the order was executed.
func (s *Service) Executions(orderID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[orderID]
}

// AllExecutions returns how often each order was executed, by order id.
func (s *Service) AllExecutions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.executions))
	for id, n := range s.executions {
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
	fault, admitted := s.beginCall()
	if !admitted {
		replyNotRun(ctx)
		return
	}
	defer s.endCall()
	ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
	if fault.Hook != nil {
		fault.Hook()
	}
	if !p.Sleep(fault.Delay) {
		process.Drop(ctx)
		return
	}
	switch {
	case fault.DropRequest:
		process.Drop(ctx)
		return
	case fault.Refuse:
		replyNotRun(ctx)
		return
	case fault.Status > 0:
		reply(ctx, fault.Status, map[string]string{"error": "fault"})
		return
	}
	id := orderID(ctx)
	if !p.Sleep(s.options.Latency) {
		process.Drop(ctx)
		return
	}
	n := s.recordExecution(id)
	if fault.DropReply {
		process.Drop(ctx)
		return
	}
	reply(ctx, fasthttp.StatusOK, map[string]any{"orderId": id, "executions": n})
	if fault.TruncateBody {
		process.Truncate(ctx)
	}
}

func (s *Service) beginCall() (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.running >= s.options.MaxRunning {
		return Fault{}, false
	}
	s.running++
	if len(s.queued) == 0 {
		return s.defaultFault, true
	}
	fault := s.queued[0]
	s.queued = s.queued[1:]
	return fault, true
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) recordExecution(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[id]++
	return s.executions[id]
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

// ServeFaults queues the fault in the request body, sets it as the default with ?always=true, or removes all faults on
// DELETE.
func (s *Service) ServeFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsDelete() {
		s.mu.Lock()
		s.queued, s.defaultFault = nil, Fault{}
		s.mu.Unlock()
		return
	}
	var fault Fault
	if err := json.Unmarshal(ctx.PostBody(), &fault); err != nil {
		reply(ctx, fasthttp.StatusBadRequest, map[string]string{"error": "body is not a fault"})
		return
	}
	if ctx.QueryArgs().GetBool("always") {
		s.SetDefaultFault(fault)
		return
	}
	s.QueueFault(fault)
}
