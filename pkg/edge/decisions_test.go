package edge

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/residency"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
	"github.com/mulberryglade/mulberryglade/pkg/streamorigin"
)

// Guards against lost events, and against joining parts of two events, when a stream breaks off within an event.
func TestEventBufferYieldsWholeEvents(t *testing.T) {
	var b eventBuffer
	steps := []struct {
		add, want, id string
		partial       bool
	}{
		{"id: 1\nda", "", "", true},
		{"ta: x\n", "", "", true},
		{"\nid: 2\ndata: y\n\nid: 3", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", "2", true},
		{"\r\ndata: z\r\n\r\n", "id: 3\r\ndata: z\r\n\r\n", "3", false},
		{": no event\n\n", ": no event\n\n", "3", false},
		{"", "", "3", false},
	}
	for i, s := range steps {
		got, err := b.Add([]byte(s.add))
		if err != nil || string(got) != s.want || b.LastID() != s.id || b.Partial() != s.partial {
			t.Errorf("step %d: got %q, last id %q, partial %v, %v", i, got, b.LastID(), b.Partial(), err)
		}
	}
}

// Guards against passing on what is no next event of the stream, also in the same read as events that are.
func TestEventBufferRejectsWhatIsNoNextEvent(t *testing.T) {
	for text, want := range map[string]error{
		"data: no id\n\n":                       errNotAnEvent,
		"id: x\ndata: y\n\n":                    errNotAnEvent,
		"id: 99999999999999999999\ndata: y\n\n": errNotAnEvent,
		"HTTP/1.1 500 Error\r\nid: 3\r\n\r\n":   errNotAnEvent,
		"Content-Length: 0\r\n\r\n":             errNotAnEvent,
		"id: 2\ndata: y\n\n":                    errEventOrder,
		"id: -3\ndata: y\n\n":                   errEventOrder,
		"event: error\ndata: y\n\n":             errErrorEvent,
		"id: 3\nevent:error\n\n":                errErrorEvent,
	} {
		var b eventBuffer
		before := "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
		got, err := b.Add([]byte(before + text + "id: 3\ndata: z\n\n"))
		if !errors.Is(err, want) || string(got) != before {
			t.Errorf("%q: got %q, %v", text, got, err)
		}
	}
}

// Guards against single requests for rare models counting as a trend, which makes rare models displace models in use,
// and against a shift of demand that is not detected.
func TestEstimateLoadSeparatesTrendsFromChance(t *testing.T) {
	for name, c := range map[string]struct {
		shortTerm, longTerm, requests float64
		rising                        bool
	}{
		"one request for a rare model": {shortTerm: 0.087, longTerm: 0.026, requests: 0.2},
		"steady model":                 {shortTerm: 1.1, longTerm: 1.0, requests: 8},
		"shift to a new model":         {shortTerm: 0.8, longTerm: 0.3, requests: 2.4, rising: true},
	} {
		load, forecast := estimateLoad(c.shortTerm, c.longTerm, c.requests)
		if rising := forecast > load; rising != c.rising {
			t.Errorf("%s: load %v, forecast %v", name, load, forecast)
		}
	}
	if load, forecast := estimateLoad(0.3, 1.0, 8); load != 0.3 || forecast != 0.3 {
		t.Errorf("falling demand: load %v, forecast %v", load, forecast)
	}
}

// Guards against the first seconds of an instance looking like rising demand for every model.
func TestRatesAreUnbiasedAtTheStart(t *testing.T) {
	start := time.Unix(1000, 0)
	shortTerm := decayingRate{decayTime: shortDecayTime, countingSince: start}
	longTerm := decayingRate{decayTime: longDecayTime, countingSince: start}
	for i := range 200 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		shortTerm.add(1, at)
		longTerm.add(1, at)
	}
	at := start.Add(2 * time.Second)
	if shortTermRate, longTermRate := shortTerm.perSecond(at), longTerm.perSecond(at); shortTermRate < 95 || shortTermRate > 110 || longTermRate < 95 || longTermRate > 110 {
		t.Fatalf("rates are %v and %v per second, want about 100", shortTermRate, longTermRate)
	}
}

// Guards against counting a request that waits several times more than once, which makes rare models outweigh all
// others.
func TestWaitingRequestsAreCountedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := newDemandTracker("r1")
	r := &Request{Model: "m", Adapter: "a1", PromptTokens: 100}
	tracker.recordRequest("s", r, fleet.DefaultEngineSpeed(), now)
	for range 5 {
		done := tracker.beginWait("s", r, true)
		if waiting := tracker.AdapterDemand("s", now); len(waiting) != 1 || waiting[0].Waiting != 1 {
			t.Fatalf("waiting adapters are %+v", waiting)
		}
		done()
	}
	if waiting := tracker.AdapterDemand("s", now); len(waiting) != 0 {
		t.Fatalf("waiting adapters are %+v after the last wait", waiting)
	}
}

// Guards against the demand of other instances being lost, counted twice, or kept after they stop reporting it.
func TestDemandOfOtherInstances(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := newDemandTracker("r1")
	docs := []exchange.ModelDoc{{Service: "s", Model: "m", ShortTermLoad: 0.5, LongTermLoad: 0.5, RequestRate: 4, Waiting: 1}}
	tracker.receive("one", remoteDemand{region: "r1", models: docs, receivedAt: now}, false)
	tracker.receive("one", remoteDemand{region: "r1", models: docs, receivedAt: now}, false)
	tracker.receive("two", remoteDemand{region: "r2", models: docs, receivedAt: now}, false)
	if d := tracker.ModelDemand("s", now)["m"]; d.RequestRate != 8 || d.Waiting != 2 || d.ByRegion["r1"] != 0.5 || d.ByRegion["r2"] != 0.5 {
		t.Fatalf("demand is %+v", d)
	}
	if d := tracker.ModelDemand("s", now.Add(remoteDemandMaxAge+time.Second)); len(d) != 0 {
		t.Fatalf("demand is %+v", d)
	}
}

// Guards against early reports of waiting demand that list all models in use instead of those for which requests are
// waiting, and against such a report replacing the demand that it does not list.
func TestEarlyReportOfWaitingDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	sender, holder := newDemandTracker("r1"), newDemandTracker("r1")
	for i := range 50 {
		sender.recordRequest("s", &Request{Model: fmt.Sprintf("m%d", i), Adapter: "a", PromptTokens: 100}, fleet.DefaultEngineSpeed(), now)
	}
	defer sender.beginWait("s", &Request{Model: "new"}, false)()
	defer sender.beginWait("s", &Request{Model: "m7", Adapter: "b"}, true)()
	models, adapters := sender.ownDemand(now)
	holder.receive("one", remoteDemand{region: "r1", models: models, adapters: adapters, receivedAt: now}, false)
	defer sender.beginWait("s", &Request{Model: "m7"}, false)()
	models, adapters = sender.waitingDemand(now)
	if len(models) != 2 || len(adapters) != 1 {
		t.Fatalf("early report lists %d models and %d adapters", len(models), len(adapters))
	}
	holder.receive("one", remoteDemand{region: "r1", models: models, adapters: adapters, receivedAt: now}, true)
	demand := holder.ModelDemand("s", now)
	if len(demand) != 51 || demand["m7"].Waiting != 1 || demand["m8"].RequestRate == 0 || demand["new"].Waiting != 1 {
		t.Fatalf("%d models; m7 %+v, m8 %+v, new %+v", len(demand), demand["m7"], demand["m8"], demand["new"])
	}
	if waiting := holder.AdapterDemand("s", now); len(waiting) != 1 || waiting[0].Adapter != "b" || waiting[0].Waiting != 1 {
		t.Fatalf("waiting adapters are %+v", waiting)
	}
}

// Guards against an instance that cannot read the store sending requests to removed endpoints. Also guards against
// applying the endpoints of another instance if these are older, or while the instance can read the store itself.
func TestPeerEndpointsAreAppliedOnlyWhileStoreIsUnreachable(t *testing.T) {
	s, err := New(Settings{InstanceID: "edge-1", ExchangeAddress: "127.0.0.1:0"}, Dependencies{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	s.deps.Fleet.Announce(fleet.Announcement{ID: "old", Service: "s", Address: "a:1"}, now)
	s.storeView.revision.Store(10)
	fresh := &exchange.Message{Instance: "edge-2", Revision: 12, Endpoints: []exchange.EndpointDoc{{ID: "new", Service: "s", Address: "a:1"}}}
	older := &exchange.Message{Instance: "edge-3", Revision: 9, Endpoints: []exchange.EndpointDoc{{ID: "older", Service: "s", Address: "a:1"}}}

	s.applyPeerEndpoints(fresh, now)
	if ids := s.deps.Fleet.IDs(); len(ids) != 1 || ids[0] != "old" {
		t.Fatalf("endpoints are %v while the store responds", ids)
	}
	s.storeView.setUnreachable(now.Add(-staleViewAfter))
	s.applyPeerEndpoints(older, now)
	if ids := s.deps.Fleet.IDs(); len(ids) != 1 || ids[0] != "old" {
		t.Fatalf("endpoints are %v after an older message", ids)
	}
	s.applyPeerEndpoints(fresh, now)
	if ids := s.deps.Fleet.IDs(); len(ids) != 1 || ids[0] != "new" {
		t.Fatalf("endpoints are %v", ids)
	}
	s.storeView.setReachable()
	if s.storeView.stale(now.Add(time.Hour)) {
		t.Fatal("the view counts as stale although the store responds")
	}
}

// Guards against sending the endpoints to a stale instance in every message, or after it can read the store again.
func TestEndpointsAreSentToStaleInstancesAtIntervals(t *testing.T) {
	var p stalePeers
	now := time.Unix(1000, 0)
	p.recordMessage("edge-2", true, now)
	if !p.endpointsDue("edge-2", now) || p.endpointsDue("edge-2", now) || p.endpointsDue("edge-3", now) {
		t.Fatal("endpoints must be sent to the stale instance once, and to no other instance")
	}
	p.recordMessage("edge-2", true, now.Add(endpointsSendInterval))
	if !p.endpointsDue("edge-2", now.Add(endpointsSendInterval)) {
		t.Fatal("endpoints are not sent again after the interval")
	}
	p.recordMessage("edge-2", false, now.Add(endpointsSendInterval))
	if p.endpointsDue("edge-2", now.Add(2*endpointsSendInterval)) {
		t.Fatal("endpoints are sent to an instance that can read the store")
	}
}

// Guards against a region that is cut off from the store and gets a list of the endpoints for each of its instances, or none.
func TestOneListOfEndpointsIsSentToARegion(t *testing.T) {
	now := time.Now()
	s, err := New(Settings{InstanceID: "a-1", ExchangeAddress: "127.0.0.1:0", Regions: map[string]string{"z1": "r1", "z2": "r2"}}, Dependencies{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	for name, dataCentre := range map[string]string{"a-1": "z1", "a-2": "z1", "b-1": "z2", "b-2": "z2"} {
		s.instances.put(name, exchange.InstanceDoc{DataCentre: dataCentre})
		s.stalePeers.recordMessage(name, dataCentre == "z2", now)
	}
	region := exchange.Peer{Region: "r2"}
	if !s.sendsEndpointsTo(region, now) || !s.endpointsDue(region, now) || s.endpointsDue(region, now) {
		t.Fatal("the region must get one list")
	}
	s.stalePeers.recordMessage("b-1", false, now)
	s.stalePeers.recordMessage("b-2", false, now)
	if s.endpointsDue(region, now.Add(endpointsSendInterval)) {
		t.Fatal("a list is sent to a region whose instances can read the store")
	}
}

// All instances end while two versions serve, and their clients take their streams up again. Guards against refusing these
// while new streams begin, because the one engine that can continue them is at the limit for new prompts.
func TestStreamsThatAreContinuedComeBeforeNewOnes(t *testing.T) {
	s, err := New(Settings{InstanceID: "edge-1", ExchangeAddress: "127.0.0.1:0"}, Dependencies{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for id, version := range map[string]string{"e1": "v1", "e2": "v2"} {
		s.deps.Fleet.Announce(fleet.Announcement{
			ID: id, Service: "s", Address: id + ":1", Software: version, Slots: 48, Models: []fleet.HeldModel{{Name: "m"}},
		}, now)
	}
	perSecond := s.deps.Fleet.ServiceSpeed("s", now).PrefillPerMs * 1000
	busy := fleet.Work{Running: 20, PrefillRate: int(1.2 * perSecond)}
	s.deps.Fleet.SetRemoteWork("edge-2", map[fleet.EndpointKey]fleet.Work{fleet.EndpointKeyOf("e1"): busy, fleet.EndpointKeyOf("e2"): busy}, now)
	table := routing.NewTable(&routing.Config{Version: 1})
	reserve := func(lastEventID, resumes string) (string, bool) {
		r := &clientRequest{
			table: table, checkedTable: table,
			server: s, ctx: context.Background(), arrivedAt: now, deadline: now.Add(5 * time.Second), log: zap.NewNop(),
			request: Request{ID: "a", Model: "m", PromptTokens: 2000, OutputTokens: 20, LastEventID: lastEventID, Resumes: resumes},
			route:   &routing.Route{Kind: routing.Streaming, Resumable: true, Timeout: 5 * time.Second, TargetLatency: time.Second, MaxAttempts: 2},
			service: &routing.Service{Name: "s", Engine: &routing.Engine{}},
		}
		if lastEventID != "" && !r.bindToOrigin() {
			t.Fatal("the origin of the stream is not known")
		}
		choice, call := r.reserve(r.fleetDemand(now), now)
		return choice.ID, call != nil
	}
	if id, sent := reserve("", ""); sent {
		t.Fatalf("a new stream is sent to %s, which is at the limit", id)
	}
	s.origins.begin("first", streamorigin.Origin{Service: "s", Version: "v2"}, now.Add(5*time.Second))
	if id, sent := reserve("3", "first"); !sent || id != "e2" {
		t.Fatalf("a stream that is taken up is sent to %q: %v", id, sent)
	}
}

// A bound over a time window, such as that of retries, is divided by the number of instances. Guards against counting
// fewer instances, and so enlarging each one's share, when registrations expire during an outage of the store.
func TestInstanceCountKeepsRecentPeak(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newInstanceRegistry()
	for _, name := range []string{"a", "b", "c"} {
		m.put(name, exchange.InstanceDoc{})
	}
	if n := m.count(now); n != 3 {
		t.Fatalf("count is %d", n)
	}
	m.remove("a")
	m.remove("b")
	if n := m.count(now.Add(peakRetention / 2)); n != 3 {
		t.Fatalf("count is %d right after registrations expired", n)
	}
	if n := m.count(now.Add(peakRetention)); n != 1 {
		t.Fatalf("count is %d after the window", n)
	}
}

// Guards against a small instance placing models, which loses the lease repeatedly because it is too slow, and against
// no instance placing models when the large ones are not running.
func TestLargeInstancesPlaceModelsFirst(t *testing.T) {
	const headStart = time.Second
	now := time.Now()
	m := newInstanceRegistry()
	m.put("large-1", exchange.InstanceDoc{MemoryMB: 536})
	m.put("large-2", exchange.InstanceDoc{MemoryMB: 536})
	m.put("small", exchange.InstanceDoc{MemoryMB: 184})
	configured := now
	eligible := func(now time.Time) string {
		var names []string
		for _, name := range []string{"large-1", "large-2", "small", "unregistered"} {
			if m.mayPlaceModels(name, headStart, configured, now) {
				names = append(names, name)
			}
		}
		return strings.Join(names, " ")
	}
	m.setHolder(holderTerm{"large-1", 7}, now)
	if got := eligible(now); got != "large-1" {
		t.Fatalf("while an instance places models, eligible are %q", got)
	}
	m.setHolder(holderTerm{}, now)
	m.setHolder(holderTerm{}, now.Add(headStart/2))
	if got := eligible(now.Add(headStart / 2)); got != "large-1 large-2" {
		t.Fatalf("right after the lease is free, eligible are %q", got)
	}
	if got := eligible(now.Add(headStart)); got != "large-1 large-2 small unregistered" {
		t.Fatalf("after the head start, eligible are %q", got)
	}
	// The first configuration reaches all instances at the same time, long after they saw that the key is free.
	configured = now.Add(headStart)
	if got := eligible(now.Add(headStart)); got != "large-1 large-2" {
		t.Fatalf("with the first configuration, eligible are %q", got)
	}
}

// Guards against a new holder that accepts the handover of an instance which was not the holder right before it: such a
// handover lacks the orders of a holder between them.
func TestPreviousHolder(t *testing.T) {
	now := time.Now()
	one, two, own := holderTerm{"edge-1", 7}, holderTerm{"edge-2", 9}, holderTerm{"edge-3", 12}
	for _, c := range []struct {
		name  string
		steps func(m *instanceRegistry)
		want  holderTerm
	}{
		{"the key expired", func(m *instanceRegistry) { m.setHolder(holderTerm{}, now); m.setHolder(own, now) }, one},
		{"another instance held the key in between", func(m *instanceRegistry) {
			m.setHolder(two, now)
			m.setHolder(holderTerm{}, now)
			m.setHolder(own, now)
		}, two},
		{"the new holder's key has not been seen yet", func(m *instanceRegistry) { m.setHolder(holderTerm{}, now) }, holderTerm{}},
		{"a relay reported the last change", func(m *instanceRegistry) { m.setHolderWithoutPrevious("", now); m.setHolder(own, now) }, holderTerm{}},
		{"changes may be missing", func(m *instanceRegistry) { m.setHolder(own, now); m.forgetPrevious() }, holderTerm{}},
	} {
		m := newInstanceRegistry()
		m.setHolder(one, now)
		c.steps(m)
		instance, fencingToken, known := m.previousHolder(own.fencingToken)
		if got := (holderTerm{instance, fencingToken}); got != c.want || known != (c.want != holderTerm{}) {
			t.Errorf("%s: got %v, known %v, want %v", c.name, got, known, c.want)
		}
	}
}

func TestHandoverRoundTrip(t *testing.T) {
	now := time.Now()
	h := residency.Handover{
		FencingToken: 7, Ordered: []string{"e1"}, StoreLoadAges: []time.Duration{1500 * time.Millisecond},
		Loading: []residency.Loading{{Endpoint: "e1", Model: "m", ReadyAt: now.Add(4 * time.Second)}},
	}
	if got := decodeHandover(encodeHandover(&h, now), now); !reflect.DeepEqual(got, h) {
		t.Fatalf("got %+v", got)
	}
}

// Guards against using an endpoint for good that the store has removed, because an instance that keeps it with grace sent
// it to one that cannot read the store: no later change names the endpoint again.
func TestEndpointKeptWithGraceIsNotKeptForGoodByAnotherInstance(t *testing.T) {
	now := time.Now()
	sender, recipient := newRelayTestServer(t, "edge-1", 2), newRelayTestServer(t, "edge-2", 2)
	recipient.storeView.setUnreachable(now.Add(-staleViewAfter))
	gone := fleet.Announcement{ID: "e1", Service: "s", Address: "a:1"}
	for _, s := range []*Server{sender, recipient} {
		s.deps.Fleet.Announce(gone, now)
	}
	sender.deps.Fleet.Withdraw(gone.ID, now.Add(fleet.ReappearGrace), now)
	recipient.applyPeerEndpoints(&exchange.Message{Instance: "edge-1", Revision: 9, Endpoints: sender.endpointDocs(now)}, now)
	for _, c := range []struct {
		at   time.Time
		want string
	}{{now, "e1"}, {now.Add(fleet.ReappearGrace), ""}} {
		choice, _ := recipient.deps.Fleet.Reserve(&fleet.Demand{Service: "s"}, recipient.distance, c.at)
		if choice.ID != c.want {
			t.Fatalf("chose %q %v after the removal, want %q", choice.ID, c.at.Sub(now), c.want)
		}
	}
}

// Guards against all instances sending the list of endpoints to each stale instance, which overloads the links when
// many are cut off at once, and against no instance sending it.
func TestFewInstancesSendEndpoints(t *testing.T) {
	now := time.Now()
	regions := map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}
	all := []string{"a-1", "a-2", "a-3", "b-1", "b-2", "c-1"}
	// senders returns the instances that send the endpoints to the stale instance a-3.
	senders := func(unresponsive string, stale ...string) string {
		var names []string
		for _, name := range all {
			s, err := New(Settings{InstanceID: name, ExchangeAddress: "127.0.0.1:0", Regions: regions}, Dependencies{}, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			for _, other := range []string{"a-1", "a-2", "a-3"} {
				s.instances.put(other, exchange.InstanceDoc{DataCentre: "z1"})
			}
			s.instances.put("b-1", exchange.InstanceDoc{DataCentre: "z2"})
			s.instances.put("b-2", exchange.InstanceDoc{DataCentre: "z2"})
			s.instances.put("c-1", exchange.InstanceDoc{DataCentre: "z3"})
			for _, other := range all {
				if other != unresponsive {
					s.stalePeers.recordMessage(other, slices.Contains(stale, other), now)
				}
			}
			if name != unresponsive && !slices.Contains(stale, name) && s.sendsEndpointsTo(exchange.Peer{Instance: "a-3", DataCentre: "z1"}, now) {
				names = append(names, name)
			}
		}
		return strings.Join(names, " ")
	}
	for _, c := range []struct {
		unresponsive string
		stale        []string
		want         string
	}{
		{"", []string{"a-3"}, "a-1 a-2"},
		{"a-1", []string{"a-3"}, "a-2 b-1"},
		{"", []string{"a-3", "a-1"}, "a-2 b-1"},
		{"", []string{"a-1", "a-2", "a-3"}, "b-1 b-2"},
		{"b-1", []string{"a-1", "a-2", "a-3"}, "b-2 c-1"},
		{"", []string{"a-1", "a-2", "a-3", "b-1", "b-2"}, "c-1"},
	} {
		if got := senders(c.unresponsive, c.stale...); got != c.want {
			t.Errorf("stale instances %v: senders are %q, not %q", c.stale, got, c.want)
		}
	}
}

// Guards against missing the end of an event that is read in parts, since each byte is searched only once.
func TestEventBufferFindsEndsReadInParts(t *testing.T) {
	const stream = "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\nid: 3\n\r\nrest"
	for size := 1; size <= len(stream); size++ {
		var b eventBuffer
		var events strings.Builder
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			complete, err := b.Add([]byte(rest[:n]))
			if err != nil {
				t.Fatalf("reads of %d bytes: %v", size, err)
			}
			events.Write(complete)
			rest = rest[n:]
		}
		if events.String() != strings.TrimSuffix(stream, "rest") || b.LastID() != "3" || !b.Partial() {
			t.Errorf("reads of %d bytes: events %q, last id %q", size, events.String(), b.LastID())
		}
	}
}

// Guards against instances that each know the load of an endpoint only from the few responses that they got from it: of 63
// instances, each gets a sixty-third of them. Load pattern: the machine of an engine becomes slow for a few seconds.
func TestStatedLoadReachesOtherInstances(t *testing.T) {
	now := time.Now()
	var servers []*Server
	for _, id := range []string{"edge-1", "edge-2"} {
		s, err := New(Settings{InstanceID: id, ExchangeAddress: "127.0.0.1:0"}, Dependencies{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		for _, endpoint := range []string{"e1", "e2"} {
			s.deps.Fleet.Announce(fleet.Announcement{
				ID: endpoint, Service: "llm", Address: endpoint + ":1", Lifetime: 1, Slots: 48, Models: []fleet.HeldModel{{Name: "m"}},
			}, now)
		}
		servers = append(servers, s)
	}
	servers[0].recordStatement("e1", 1, fleet.Statement{Load: fleet.StatedLoad{Running: 40, Slots: 48, WorkPercent: 500}})
	m := &exchange.Message{Instance: "edge-1"}
	servers[0].compose(m, exchange.Peer{Instance: "edge-2", SameRegion: true}, exchange.SendInfo{Reason: exchange.ReasonRegular, Interval: time.Minute})
	data, err := exchange.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if m, err = exchange.Decode(data); err != nil {
		t.Fatal(err)
	}
	servers[1].receive(m, now)
	demand := &fleet.Demand{Service: "llm", Model: "m", PromptTokens: 2000, TargetLatency: 2 * time.Second, MaxPrefillShare: 0.95}
	noDistance := func(string) fleet.Distance { return fleet.Distance{} }
	for range 3 {
		choice, call := servers[1].deps.Fleet.Reserve(demand, noDistance, time.Now())
		if call == nil || choice.ID != "e2" {
			t.Fatalf("choice is %+v", choice)
		}
		call.End(fleet.Succeeded, now)
	}
}

// Guards against messages that take more than a sixth of the 22 KB/s that control may use, with 63 and with 390 instances in
// two regions: each load takes at most nine bytes, or twelve as text.
func TestToldLoadsStayWithinTheirBudget(t *testing.T) {
	for instances, interval := range map[int]time.Duration{63: 62 * 200 * time.Millisecond / 15, 390: 2 * time.Second} {
		perSecond := float64(instances/2) / interval.Seconds()
		if bytes := perSecond * 12 * float64(toldLoads(interval)); bytes > 22_000.0/6 {
			t.Errorf("%.0f bytes a second with %d instances", bytes, instances)
		}
	}
	if few := toldLoads(200 * time.Millisecond); few != 8 {
		t.Errorf("%d loads with few instances", few)
	}
}

// Guards against a learned limit that an operator cannot see, and against a line for each of the responses that change it.
// Load pattern: a plain endpoint takes ten times as long with five calls as with one.
func TestChangesOfLearnedLimitsAreLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	s, err := New(Settings{InstanceID: "edge-1", ExchangeAddress: "127.0.0.1:0"}, Dependencies{}, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	s.deps.Fleet.Announce(fleet.Announcement{ID: "e1", Service: "plain", Address: "e1:1", Lifetime: 1, Slots: 6}, now)
	for i := range 200 {
		sample := fleet.LoadSample{Endpoint: fleet.EndpointKeyOf("e1"), Calls: 1, WorkPercent: 100, Latency: 15 * time.Millisecond}
		if i%2 == 1 {
			sample.Calls, sample.Latency = 5, 150*time.Millisecond
		}
		m := &exchange.Message{Instance: "edge-2", Loads: exchange.PackLoads([]fleet.LoadSample{sample})}
		s.receiveLoads(m, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	lines := logs.FilterMessage("endpoint's learned limit changed").All()
	if len(lines) < 1 || len(lines) > 3 {
		t.Fatalf("%d lines in two seconds", len(lines))
	}
	fields := lines[0].ContextMap()
	if fields["endpoint"] != "e1" || fields["before"] != int64(6) || fields["after"].(int64) > 5 || fields["reason"] != "slower with more calls" {
		t.Fatalf("fields are %v", fields)
	}
}
