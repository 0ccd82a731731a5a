package edge

import (
	"bufio"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// fairTest is an instance with two engines, of which e1 holds the model m1 and e2 the model m2. It runs in a bubble of
// synctest.
type fairTest struct {
	t      *testing.T
	server *Server
	logs   *observer.ObservedLogs
	mu     sync.Mutex
	// chosen lists the requests that got an endpoint, in this order.
	chosen []string
}

func newFairTest(t *testing.T, withWorkspaces bool) *fairTest {
	core, logs := observer.New(zap.InfoLevel)
	network := &simulatedNetwork{random: rand.New(rand.NewPCG(1, 1)), conns: make(map[string]*simulatedConn)}
	s, err := New(Settings{InstanceID: "edge-1", DataCentre: "z1"}, Dependencies{ExchangeConn: network.listen("edge-1")}, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	config := &routing.Config{Version: 1}
	if withWorkspaces {
		config.Workspaces, config.Keys = []*routing.Workspace{{Name: "hot"}, {Name: "small"}}, routing.NewKeyIndex()
	}
	s.table.Store(routing.NewTable(config))
	for id, model := range map[string]string{"e1": "m1", "e2": "m2"} {
		s.deps.Fleet.Announce(fleet.Announcement{
			ID: id, Service: "s", Address: id + ":1", DataCentre: "z1", Slots: 48, Models: []fleet.HeldModel{{Name: model}},
		}, time.Now())
	}
	// Ends the waits of requests that a failed test leaves.
	t.Cleanup(func() {
		if !s.isRefusing() {
			close(s.refusing)
		}
		synctest.Wait()
	})
	return &fairTest{t: t, server: s, logs: logs}
}

func (f *fairTest) request(name, workspace, model string, target, timeout time.Duration) *clientRequest {
	now := time.Now()
	r := &clientRequest{
		server: f.server, ctx: context.Background(), httpRequest: &fasthttp.Request{},
		request: Request{ID: name, Model: model, PromptTokens: 8000, OutputTokens: 10},
		table:   f.server.table.Load(), checkedTable: f.server.table.Load(),
		route:     &routing.Route{Timeout: timeout, TargetLatency: target, MaxAttempts: 1},
		service:   &routing.Service{Name: "s", Engine: &routing.Engine{}},
		arrivedAt: now, deadline: now.Add(timeout), log: f.server.log,
	}
	if workspace != "" {
		r.keyCheck, r.workspace = routing.KeyKnown, &routing.Workspace{Name: workspace}
	}
	return r
}

// choose chooses an endpoint for a request in the background, and waits until it is chosen or the request waits.
func (f *fairTest) choose(r *clientRequest) {
	go func() {
		if a, _ := r.chooseEndpoint(); a != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.chosen = append(f.chosen, r.request.ID)
		}
	}()
	synctest.Wait()
}

// occupy sends prompts of a model to its engine.
func (f *fairTest) occupy(model string, tokens int) *fleet.Call {
	_, call := f.server.deps.Fleet.Reserve(&fleet.Demand{Service: "s", Model: model, PromptTokens: tokens}, f.server.distance, time.Now())
	if call == nil {
		f.t.Fatal("no engine")
	}
	return call
}

// change signals a change of the endpoints.
func (f *fairTest) change() {
	f.server.deps.Fleet.SetRemoteWork("other", nil, time.Now())
	synctest.Wait()
}

func (f *fairTest) use(workspace string, tokens int) {
	f.server.fairQueues.Start(workspace, "m1", fairshare.Cost{InputTokens: tokens}).Finish(fairshare.Cost{InputTokens: tokens})
}

// expect checks which requests got an endpoint, in which order.
func (f *fairTest) expect(when string, names ...string) {
	f.t.Helper()
	if !slices.Equal(f.chosen, names) {
		f.t.Fatalf("%s: chosen are %v, want %v", when, f.chosen, names)
	}
}

// busyRate is the rate of prompt tokens per second at which an engine is saturated, and decays below the limit for requests
// in time within 0.6 s and below the one for late requests within 0.7 s.
const busyRate = 32_000

// Guards against a hot workspace whose many waiting requests take each free capacity before the one request of another.
func TestWaitingRequestsOfWorkspacesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFairTest(t, true)
		f.use("hot", 50_000)
		f.occupy("m1", busyRate).End(fleet.Succeeded, time.Now())
		f.occupy("m1", 1)
		for _, name := range []string{"hot1", "hot2", "hot3"} {
			f.choose(f.request(name, "hot", "m1", 10*time.Second, 60*time.Second))
			time.Sleep(time.Millisecond)
		}
		f.choose(f.request("small1", "small", "m1", 10*time.Second, 60*time.Second))
		f.expect("while the engine is saturated")
		time.Sleep(800 * time.Millisecond)
		f.change()
		f.expect("after the first change", "small1")
		for range 3 {
			time.Sleep(900 * time.Millisecond)
			f.change()
		}
		f.expect("after further changes", "small1", "hot1", "hot2", "hot3")
		if f.logs.FilterMessage("left the fair queue").Len() != 4 {
			t.Errorf("%d log lines about the queue", f.logs.FilterMessage("left the fair queue").Len())
		}
	})
}

// Guards against room that stays unused because the first in line needs a model that the free engine does not hold.
func TestRoomIsUsedAlthoughTheFirstInLineCannot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFairTest(t, true)
		f.use("hot", 50_000)
		f.occupy("m1", 3*busyRate)
		f.occupy("m2", busyRate)
		f.choose(f.request("small1", "small", "m1", 10*time.Second, 60*time.Second))
		f.choose(f.request("hot2", "hot", "m2", 10*time.Second, 60*time.Second))
		f.expect("while both engines are saturated")
		time.Sleep(800 * time.Millisecond)
		f.change()
		f.expect("after the change", "hot2")
	})
}

// Guards against a workspace above its share that fills the engines up to the limit, so that others find no room.
func TestWorkspaceAboveItsShareLeavesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFairTest(t, true)
		f.use("hot", 50_000)
		f.use("small", 10_000)
		f.occupy("m1", 18_000).End(fleet.Succeeded, time.Now())
		f.occupy("m1", 1)
		f.choose(f.request("hot1", "hot", "m1", 5*time.Second, 6*time.Second))
		f.expect("while nothing is saturated", "hot1")
		f.occupy("m1", 10_000)
		// The engine's rate is then 36,000 tokens per second. It falls to between the limits of the two workspaces.
		small, hot := f.request("small1", "small", "m1", 20*time.Second, 60*time.Second), f.request("hot2", "hot", "m1", 20*time.Second, 60*time.Second)
		// There is room for both requests.
		small.request.PromptTokens, hot.request.PromptTokens = 10, 10
		f.choose(small)
		f.expect("while the engine is saturated", "hot1")
		time.Sleep(time.Duration(math.Log(36/18.5) * float64(time.Second)))
		hot.arrivedAt = time.Now()
		f.choose(hot)
		f.expect("at a rate between the limits", "hot1", "small1")
		held := f.logs.FilterMessage("workspace above its share held to a lower limit")
		if held.Len() != 1 || held.All()[0].ContextMap()["workspace"] != "hot" {
			t.Fatalf("log lines: %v", held.All())
		}
	})
}

// Guards against requests that are held, although waiting cannot help, instead of being rejected at once, and against a
// Retry-After before there can be room for them.
func TestRequestThatCannotBeServedInTimeIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFairTest(t, true)
		f.use("hot", 50_000)
		f.use("small", 10_000)
		f.occupy("m1", 60_000)
		retryAfter := make(map[string]time.Duration)
		for _, workspace := range []string{"small", "hot"} {
			before := time.Now()
			a, wait := f.request(workspace, workspace, "m1", time.Second, 4*time.Second).chooseEndpoint()
			if a != nil || time.Since(before) > 0 {
				t.Fatalf("%s: attempt %v after %v", workspace, a, time.Since(before))
			}
			retryAfter[workspace] = wait
		}
		// The engine reads the prompts ahead in 3 s, and the request's own in 0.4 s.
		if wait := retryAfter["small"]; wait < 2*time.Second || wait > 3*time.Second {
			t.Errorf("Retry-After is %v", wait)
		}
		if retryAfter["hot"] <= retryAfter["small"] {
			t.Errorf("Retry-After of the held workspace is %v, that of the other %v", retryAfter["hot"], retryAfter["small"])
		}
		if f.server.fairQueues.Queue("s").Waiting() {
			t.Error("rejected requests wait")
		}
	})
}

// Guards against a place in the queue, or a goroutine, that outlives its request.
func TestRequestsLeaveTheQueueWhenTheyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFairTest(t, true)
		f.occupy("m1", 3*busyRate)
		ctx, leave := context.WithCancel(context.Background())
		left := f.request("left", "small", "m1", 10*time.Second, 60*time.Second)
		left.ctx = ctx
		f.choose(left)
		f.choose(f.request("expired", "hot", "m1", 100*time.Millisecond, 60*time.Second))
		f.choose(f.request("refused", "hot", "m1", 10*time.Second, 60*time.Second))
		if !f.server.fairQueues.Queue("s").Waiting() {
			t.Fatal("no request waits")
		}
		leave()
		f.change()
		time.Sleep(time.Second)
		close(f.server.refusing)
		synctest.Wait()
		if f.server.fairQueues.Queue("s").Waiting() {
			t.Fatal("requests wait after all have ended")
		}
		f.expect("in the end")
	})
}

// Guards against any change for deployments without workspaces.
func TestWithoutWorkspacesRequestsWaitAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFairTest(t, false)
		// Usage and saturation that would hold a workspace back.
		f.use("", 50_000)
		f.use("small", 10_000)
		usages := f.server.fairQueues.LocalUsages()
		queue := f.server.fairQueues.Queue("s")
		queue.NoteSaturated(time.Now())
		if !queue.Limit("", time.Now()).Held {
			t.Fatal("the test's usage does not hold anybody back")
		}
		f.occupy("m1", busyRate).End(fleet.Succeeded, time.Now())
		f.occupy("m1", 1)
		first := f.request("first", "", "m1", 10*time.Second, 60*time.Second)
		second := f.request("second", "", "m1", 10*time.Second, 60*time.Second)
		first.request.PromptTokens, second.request.PromptTokens = 10, 10
		f.choose(first)
		f.choose(second)
		if queue.Waiting() || first.fairness.ticket != nil {
			t.Fatal("a request waits in the queue")
		}
		// The rate is between the limits in time and that of a workspace above its share.
		time.Sleep(time.Duration(math.Log(busyRate/18_500.0) * float64(time.Second)))
		now := time.Now()
		third := f.request("third", "", "m1", 10*time.Second, 60*time.Second)
		third.request.PromptTokens = 10
		demand := third.fleetDemand(now)
		if want := time.Duration(float64(10*time.Second) * plannedTargetShare); demand.MaxPrefillShare != prefillShare || demand.TargetLatency != want {
			t.Fatalf("demand is %+v", demand)
		}
		if a, _ := third.chooseEndpoint(); a == nil || a.late {
			t.Fatalf("attempt is %+v", a)
		}
		f.change()
		// All requests are woken at once, in no order.
		slices.Sort(f.chosen)
		f.expect("after the change", "first", "second")
		if got := f.server.fairQueues.LocalUsages(); !slices.Equal(got, usages) {
			t.Fatalf("usage was charged: %v", got)
		}
		for _, line := range f.logs.All() {
			if strings.Contains(line.Message, "fair") || strings.Contains(line.Message, "held") {
				t.Fatalf("log line: %s", line.Message)
			}
		}
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// Guards against a rank that is ignored, or that comes from the route although the workspace has its own.
func TestRankOfTheWorkspaceGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFairTest(t, true)
		f.use("hot", 50_000)
		f.use("small", 10_000)
		f.occupy("m1", busyRate).End(fleet.Succeeded, time.Now())
		f.occupy("m1", 1)
		urgent := 0
		first := f.request("small1", "small", "m1", 10*time.Second, 60*time.Second)
		second := f.request("hot1", "hot", "m1", 10*time.Second, 60*time.Second)
		first.route.Priority, second.route.Priority = 1, 2
		second.workspace.Priority = &urgent
		f.choose(first)
		f.choose(second)
		time.Sleep(1200 * time.Millisecond)
		f.change()
		if len(f.chosen) == 0 || f.chosen[0] != "hot1" {
			t.Fatalf("chosen are %v", f.chosen)
		}
	})
}

// chargeCodec names one request for the model m1. Endpoints refuse by status 503.
type chargeCodec struct{}

func (chargeCodec) DecodeRequest(*fasthttp.RequestHeader) Request {
	return Request{ID: "r1", Model: "m1", PromptTokens: 1000, OutputTokens: 100, Key: "k"}
}

func (chargeCodec) EncodeForward(*fasthttp.RequestHeader, Forwarding) {}

func (chargeCodec) DecodeReply(h *fasthttp.ResponseHeader) Reply {
	return Reply{ID: "r1", Signed: true, NotRun: h.StatusCode() == fasthttp.StatusServiceUnavailable}
}

// Guards against usage that is published only at the end of a long stream, that is missing, or that is charged for requests
// that have not run.
func TestStreamsAreChargedToTheirWorkspace(t *testing.T) {
	for name, c := range map[string]struct {
		refuses      bool
		started, end float64
	}{
		"complete": {started: 1000, end: 1200},
		"refused":  {refuses: true},
	} {
		proceed := make(chan struct{})
		endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c.refuses {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			<-proceed
		}))
		s := newRelayTestServer(t, "edge-1", 1)
		s.deps.HeaderCodec = chargeCodec{}
		workspace := &routing.Workspace{Name: "w"}
		config := &routing.Config{
			Workspaces: []*routing.Workspace{workspace}, Keys: routing.NewKeyIndex(),
			Services: map[string]*routing.Service{"s": {Name: "s", Engine: &routing.Engine{}}},
			Routes: []routing.Route{{
				Name: "route", Host: "h", Prefix: "/", Kind: routing.Streaming, Timeout: 10 * time.Second, TargetLatency: 5 * time.Second,
				MaxAttempts: 1, Targets: []routing.Target{{Service: "s", Weight: 1}},
			}},
		}
		config.Keys.Add("k", workspace)
		s.table.Store(routing.NewTable(config))
		s.deps.Fleet.Announce(fleet.Announcement{
			ID: "e1", Service: "s", Address: strings.TrimPrefix(endpoint.URL, "http://"), Slots: 4, Models: []fleet.HeldModel{{Name: "m1"}},
		}, time.Now())
		client, server := net.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			s.newClientConn(server).serve(t.Context())
		}()
		go func() {
			_, _ = client.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		}()
		reply := bufio.NewReader(client)
		if _, err := reply.ReadString('x'); err != nil && !c.refuses {
			t.Fatalf("%s: %v", name, err)
		}
		usage := func() float64 {
			if usages := s.fairQueues.LocalUsages(); len(usages) == 1 && usages[0].Member == "w" {
				return usages[0].Service
			}
			return -1
		}
		if got := usage(); got != c.started {
			t.Errorf("%s: usage is %v after the first event", name, got)
		}
		close(proceed)
		_, _ = io.Copy(io.Discard, reply)
		<-served
		if got := usage(); got != c.end {
			t.Errorf("%s: usage is %v in the end", name, got)
		}
		_ = client.Close()
		endpoint.Close()
	}
}

// Guards against a workspace above its share that fills the engines' queues up to the target latency, so that requests of
// others are late.
func TestWorkspaceAboveItsShareKeepsToShorterQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFairTest(t, true)
		f.occupy("m1", 320_000)
		// The engine's rate decays, while 16 s of prompts remain to be read.
		time.Sleep(5 * time.Second)
		f.use("hot", 50_000)
		f.use("small", 10_000)
		for _, c := range []struct {
			workspace string
			saturated bool
			late      bool
		}{{"hot", false, false}, {"hot", true, true}, {"small", true, false}} {
			if c.saturated {
				f.server.fairQueues.Queue("s").NoteSaturated(time.Now())
			}
			r := f.request(c.workspace, c.workspace, "m1", 20*time.Second, 60*time.Second)
			r.request.PromptTokens = 10
			if a, _ := r.chooseEndpoint(); a == nil || a.late != c.late {
				t.Errorf("%+v: attempt is %+v", c, a)
			}
		}
	})
}
