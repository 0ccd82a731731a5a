package edge

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/residency"
)

// Guards against a joined or lost event when a stream breaks off inside one.
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
		{"data: no id\n\n", "data: no id\n\n", "3", false},
		{"", "", "3", false},
	}
	for i, s := range steps {
		if got := string(b.Add([]byte(s.add))); got != s.want || b.LastID != s.id || b.Partial() != s.partial {
			t.Errorf("step %d: got %q, last id %q, partial %v", i, got, b.LastID, b.Partial())
		}
	}
}

// Replays rates of a calm model, of a rare one by chance, and of a shift of demand. Guards against single requests for
// rare models looking like a trend, which made them displace models in use, and against a shift that is not seen.
func TestEstimateLoadTellsTrendsFromChance(t *testing.T) {
	for name, c := range map[string]struct {
		fast, slow, requests float64
		rising               bool
	}{
		"one request for a rare model": {fast: 0.087, slow: 0.026, requests: 0.2},
		"calm model":                   {fast: 1.1, slow: 1.0, requests: 8},
		"shift to a new model":         {fast: 0.8, slow: 0.3, requests: 2.4, rising: true},
	} {
		load, forecast := estimateLoad(c.fast, c.slow, c.requests)
		if rising := forecast > load; rising != c.rising {
			t.Errorf("%s: load %v, forecast %v", name, load, forecast)
		}
	}
	if load, forecast := estimateLoad(0.3, 1.0, 8); load != 0.3 || forecast != 0.3 {
		t.Errorf("falling demand: load %v, forecast %v", load, forecast)
	}
}

// Guards against the first seconds of an instance looking like a rise of every model's demand.
func TestRatesAreUnbiasedAtTheStart(t *testing.T) {
	start := time.Unix(1000, 0)
	fast := decayingRate{memory: fastMemory, since: start}
	slow := decayingRate{memory: slowMemory, since: start}
	for i := range 200 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		fast.add(1, at)
		slow.add(1, at)
	}
	at := start.Add(2 * time.Second)
	if f, s := fast.read(at), slow.read(at); f < 95 || f > 110 || s < 95 || s > 110 {
		t.Fatalf("rates are %v and %v, 100 a second were counted", f, s)
	}
}

// Guards against a request that waits being counted more than once, which made rare models outweigh all others.
func TestWaitingRequestsAreCountedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newDemandBook("r1")
	r := &Request{Model: "m", Adapter: "a1", PromptTokens: 100}
	b.note("s", r, fleet.DefaultPace(), now)
	for range 5 {
		done := b.wait("s", r, true)
		if wants := b.AdapterWants("s", now); len(wants) != 1 || wants[0].Waiting != 1 {
			t.Fatalf("wants are %+v", wants)
		}
		done()
	}
	if wants := b.AdapterWants("s", now); len(wants) != 0 {
		t.Fatalf("wants are %+v after the last wait", wants)
	}
}

// Guards against the demand of other instances being lost, counted twice or kept after they are gone.
func TestDemandOfOtherInstances(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newDemandBook("r1")
	docs := []exchange.ModelDoc{{Service: "s", Model: "m", ShortTermLoad: 0.5, LongTermLoad: 0.5, RequestRate: 4, Waiting: 1}}
	b.receive("one", remoteDemand{region: "r1", models: docs, at: now}, false)
	b.receive("one", remoteDemand{region: "r1", models: docs, at: now}, false)
	b.receive("two", remoteDemand{region: "r2", models: docs, at: now}, false)
	if d := b.ModelDemand("s", now)["m"]; d.Requests != 8 || d.Waiting != 2 || d.ByRegion["r1"] != 0.5 || d.ByRegion["r2"] != 0.5 {
		t.Fatalf("demand is %+v", d)
	}
	if d := b.ModelDemand("s", now.Add(remoteDemandAge+time.Second)); len(d) != 0 {
		t.Fatalf("demand is %+v", d)
	}
}

// Guards against early word of what requests wait for growing with all that the instance's clients use, and against it
// replacing the demand that it leaves out.
func TestEarlyWordOfWaitingRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	teller, holder := newDemandBook("r1"), newDemandBook("r1")
	for i := range 50 {
		teller.note("s", &Request{Model: fmt.Sprintf("m%d", i), Adapter: "a", PromptTokens: 100}, fleet.DefaultPace(), now)
	}
	defer teller.wait("s", &Request{Model: "new"}, false)()
	defer teller.wait("s", &Request{Model: "m7", Adapter: "b"}, true)()
	models, adapters := teller.own(now)
	holder.receive("one", remoteDemand{region: "r1", models: models, adapters: adapters, at: now}, false)
	defer teller.wait("s", &Request{Model: "m7"}, false)()
	models, adapters = teller.waiting(now)
	if len(models) != 2 || len(adapters) != 1 {
		t.Fatalf("early word names %d models and %d adapters", len(models), len(adapters))
	}
	holder.receive("one", remoteDemand{region: "r1", models: models, adapters: adapters, at: now}, true)
	demand := holder.ModelDemand("s", now)
	if len(demand) != 51 || demand["m7"].Waiting != 1 || demand["m8"].Requests == 0 || demand["new"].Waiting != 1 {
		t.Fatalf("%d models; m7 %+v, m8 %+v, new %+v", len(demand), demand["m7"], demand["m8"], demand["new"])
	}
	if wants := holder.AdapterWants("s", now); len(wants) != 1 || wants[0].Adapter != "b" || wants[0].Waiting != 1 {
		t.Fatalf("adapters wanted are %+v", wants)
	}
}

// Guards against an instance that is cut off from the store sending to endpoints that are gone, and against older word
// from another instance, or any while it reads the store itself, replacing what it knows.
func TestEndpointsAreTakenOverOnlyWhileTheStoreIsLost(t *testing.T) {
	s, err := New(Settings{InstanceID: "edge-1", ExchangeAddress: "127.0.0.1:0"}, Parts{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	s.parts.Fleet.Announce(fleet.Announcement{ID: "old", Service: "s", Address: "a:1"}, now)
	s.storeView.revision.Store(10)
	fresh := &exchange.Message{Instance: "edge-2", Revision: 12, Endpoints: []exchange.EndpointDoc{{ID: "new", Service: "s", Address: "a:1"}}}
	older := &exchange.Message{Instance: "edge-3", Revision: 9, Endpoints: []exchange.EndpointDoc{{ID: "older", Service: "s", Address: "a:1"}}}

	s.takeOverEndpoints(fresh, now)
	if ids := s.parts.Fleet.IDs(); len(ids) != 1 || ids[0] != "old" {
		t.Fatalf("endpoints are %v while the store answers", ids)
	}
	s.storeView.lose(now.Add(-staleAfter))
	s.takeOverEndpoints(older, now)
	if ids := s.parts.Fleet.IDs(); len(ids) != 1 || ids[0] != "old" {
		t.Fatalf("endpoints are %v after older word", ids)
	}
	s.takeOverEndpoints(fresh, now)
	if ids := s.parts.Fleet.IDs(); len(ids) != 1 || ids[0] != "new" {
		t.Fatalf("endpoints are %v", ids)
	}
	s.storeView.regain()
	if s.storeView.stale(now.Add(time.Hour)) {
		t.Fatal("the view counts as stale though the store answers")
	}
}

// Guards against an instance without the store being told the endpoints in every message, or after it has the store again.
func TestStaleInstancesAreToldOnceInAWhile(t *testing.T) {
	var p stalePeers
	now := time.Unix(1000, 0)
	p.note("edge-2", true, now)
	if !p.due("edge-2", now) || p.due("edge-2", now) || p.due("edge-3", now) {
		t.Fatal("told at the wrong time")
	}
	p.note("edge-2", true, now.Add(staleTellInterval))
	if !p.due("edge-2", now.Add(staleTellInterval)) {
		t.Fatal("not told again")
	}
	p.note("edge-2", false, now.Add(staleTellInterval))
	if p.due("edge-2", now.Add(2*staleTellInterval)) {
		t.Fatal("told though it can read the store")
	}
}

// Guards against the shares of a bound over a window growing when registrations lapse during an outage of the store.
func TestInstanceCountRemembersItsPeak(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newMembers()
	for _, name := range []string{"a", "b", "c"} {
		m.put(name, exchange.InstanceDoc{})
	}
	if n := m.count(now); n != 3 {
		t.Fatalf("count is %d", n)
	}
	m.remove("a")
	m.remove("b")
	if n := m.count(now.Add(peakMemory / 2)); n != 3 {
		t.Fatalf("count is %d right after instances lapsed", n)
	}
	if n := m.count(now.Add(peakMemory)); n != 1 {
		t.Fatalf("count is %d after the window", n)
	}
}

// Guards against a small machine that places models and loses the lease again and again because it is too slow, and against
// nobody placing them when the large ones are gone.
func TestLargeInstancesPlaceModelsFirst(t *testing.T) {
	const headStart = time.Second
	now := time.Now()
	m := newMembers()
	m.put("large-1", exchange.InstanceDoc{MemoryMB: 536})
	m.put("large-2", exchange.InstanceDoc{MemoryMB: 536})
	m.put("small", exchange.InstanceDoc{MemoryMB: 184})
	configured := now
	may := func(now time.Time) string {
		var names []string
		for _, name := range []string{"large-1", "large-2", "small", "unregistered"} {
			if m.mayPlace(name, headStart, configured, now) {
				names = append(names, name)
			}
		}
		return strings.Join(names, " ")
	}
	m.setHolder(holding{"large-1", 7}, now)
	if got := may(now); got != "large-1" {
		t.Fatalf("while one places models, %q may", got)
	}
	m.setHolder(holding{}, now)
	m.setHolder(holding{}, now.Add(headStart/2))
	if got := may(now.Add(headStart / 2)); got != "large-1 large-2" {
		t.Fatalf("at first, %q may", got)
	}
	if got := may(now.Add(headStart)); got != "large-1 large-2 small unregistered" {
		t.Fatalf("after the head start, %q may", got)
	}
	// The first configuration reaches all at the same time, long after the key was seen to be free.
	configured = now.Add(headStart)
	if got := may(now.Add(headStart)); got != "large-1 large-2" {
		t.Fatalf("with the first configuration, %q may", got)
	}
}

// Guards against a new holder that trusts the word of an instance which did not hold right before it: orders of the one
// between them would be missing.
func TestPreviousHolder(t *testing.T) {
	now := time.Now()
	one, two, own := holding{"edge-1", 7}, holding{"edge-2", 9}, holding{"edge-3", 12}
	for _, c := range []struct {
		name  string
		steps func(m *members)
		want  holding
	}{
		{"the key expired", func(m *members) { m.setHolder(holding{}, now); m.setHolder(own, now) }, one},
		{"another one held between", func(m *members) { m.setHolder(two, now); m.setHolder(holding{}, now); m.setHolder(own, now) }, two},
		{"own key not seen yet", func(m *members) { m.setHolder(holding{}, now) }, holding{}},
		{"a relay told of the last change", func(m *members) { m.sawHolder("", now); m.setHolder(own, now) }, holding{}},
		{"changes may be missing", func(m *members) { m.setHolder(own, now); m.forgetPrevious() }, holding{}},
	} {
		m := newMembers()
		m.setHolder(one, now)
		c.steps(m)
		instance, fence, known := m.previousHolder(own.fence)
		if got := (holding{instance, fence}); got != c.want || known != (c.want != holding{}) {
			t.Errorf("%s: %v, known %v, not %v", c.name, got, known, c.want)
		}
	}
}

func TestHandoverSurvivesTheWire(t *testing.T) {
	now := time.Now()
	h := residency.Handover{
		Fence: 7, Ordered: []string{"e1"}, StoreLoads: []time.Duration{1500 * time.Millisecond},
		Loading: []residency.Loading{{Endpoint: "e1", Model: "m", Ready: now.Add(4 * time.Second)}},
	}
	if got := decodeHandover(encodeHandover(&h, now), now); !reflect.DeepEqual(got, h) {
		t.Fatalf("got %+v", got)
	}
}

// Guards against all instances telling the list of endpoints to each one that cannot read the store, which fills the links
// when many are cut off at once, and against nobody telling it.
func TestFewTellTheEndpoints(t *testing.T) {
	now := time.Now()
	regions := map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}
	all := []string{"a-1", "a-2", "a-3", "b-1", "b-2", "c-1"}
	tellers := func(silent string, stale ...string) string {
		var names []string
		for _, name := range all {
			s, err := New(Settings{InstanceID: name, ExchangeAddress: "127.0.0.1:0", Regions: regions}, Parts{}, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			for _, other := range []string{"a-1", "a-2", "a-3"} {
				s.members.put(other, exchange.InstanceDoc{DataCentre: "z1"})
			}
			s.members.put("b-1", exchange.InstanceDoc{DataCentre: "z2"})
			s.members.put("b-2", exchange.InstanceDoc{DataCentre: "z2"})
			s.members.put("c-1", exchange.InstanceDoc{DataCentre: "z3"})
			for _, other := range all {
				if other != silent {
					s.stalePeers.note(other, slices.Contains(stale, other), now)
				}
			}
			if name != silent && !slices.Contains(stale, name) && s.tellsEndpointsTo(exchange.Peer{Instance: "a-3", DataCentre: "z1"}, now) {
				names = append(names, name)
			}
		}
		return strings.Join(names, " ")
	}
	for _, c := range []struct {
		silent string
		stale  []string
		want   string
	}{
		{"", []string{"a-3"}, "a-1 a-2"},
		{"a-1", []string{"a-3"}, "a-2 b-1"},
		{"", []string{"a-3", "a-1"}, "a-2 b-1"},
		{"", []string{"a-1", "a-2", "a-3"}, "b-1 b-2"},
		{"b-1", []string{"a-1", "a-2", "a-3"}, "b-2 c-1"},
		{"", []string{"a-1", "a-2", "a-3", "b-1", "b-2"}, "c-1"},
	} {
		if got := tellers(c.silent, c.stale...); got != c.want {
			t.Errorf("with %v without the store %q tell, not %q", c.stale, got, c.want)
		}
	}
}
