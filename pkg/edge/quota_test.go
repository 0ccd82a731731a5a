package edge

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/quota"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

func newQuotaTestRequest(t *testing.T) *clientRequest {
	t.Helper()
	s, err := New(Settings{InstanceID: "edge-1", ExchangeAddress: "127.0.0.1:0"}, Dependencies{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	w := &routing.Workspace{Name: "w", Quota: routing.Quota{Unit: routing.CountTokens, RatePerSecond: 1000, Burst: 1000}}
	s.table.Store(routing.NewTable(&routing.Config{Version: 1, Workspaces: []*routing.Workspace{w}}))
	return &clientRequest{
		server: s, ctx: context.Background(), workspace: w, log: zap.NewNop(), deadline: time.Now().Add(time.Minute), route: &routing.Route{},
		request: Request{StatedTokens: 500, HasStatedTokens: true},
	}
}

// Guards against sending a request long after it was charged, so that requests of many seconds arrive at endpoints at once,
// and against charging one again that is within the time or may have run.
func TestChargeIsRenewedBeforeALateSend(t *testing.T) {
	now := timing.SinceBoot()
	for name, c := range map[string]struct {
		charge     quota.Charge
		mayHaveRun bool
		sent       bool
	}{
		"within the time": {quota.Charge{Cost: 500, Expires: now + time.Hour}, false, true},
		"expired":         {quota.Charge{Cost: 500, Expires: now}, false, false},
		"may have run":    {quota.Charge{Cost: 500, Expires: now}, true, true},
		"no charge":       {quota.Charge{}, false, true},
	} {
		r := newQuotaTestRequest(t)
		r.charge, r.mayHaveRun = c.charge, c.mayHaveRun
		retryAfter, ok := r.renewQuota()
		if ok != c.sent {
			t.Errorf("%s: sent %v", name, ok)
		}
		if !ok && (retryAfter <= 0 || r.refusalStatus() != fasthttp.StatusTooManyRequests || r.charge.Cost != 0) {
			t.Errorf("%s: retry after %v, status %d, charge %+v", name, retryAfter, r.refusalStatus(), r.charge)
		}
	}
}

// Guards against a charge that is kept although no endpoint ran the request, and against returning one of a request that
// may have run.
func TestChargeIsReturnedIfNothingRan(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		r := newQuotaTestRequest(t)
		key := quota.KeyOf("w")
		// Creates the state of the workspace.
		r.server.quota.take(r.ctx, key, 500, 0, 0, false)
		r.charge = quota.Charge{Workspace: key, Cost: 500, Expires: timing.SinceBoot() + time.Hour}
		r.mayHaveRun = mayHaveRun
		r.refundQuota()
		if d := r.server.quota.take(r.ctx, key, 500, 0, 0, false); d.Admitted == mayHaveRun {
			t.Errorf("may have run %v: the next request is decided as %+v", mayHaveRun, d)
		}
	}
}

// answerTimeOfTwo is the time after which a request of one of two instances counts as not answered.
const answerTimeOfTwo = 300 * time.Millisecond

// Guards against a request that is held until its deadline because nobody answers, and against one that is rejected while
// the answer of a coordinator in another region is on its way.
func TestUnansweredRequestIsRejectedSoon(t *testing.T) {
	r := newQuotaTestRequest(t)
	r.server.instances.put("edge-2", exchange.InstanceDoc{Exchange: "127.0.0.1:9", MemoryMB: 500})
	r.server.quota.poll(timing.SinceBoot())
	started := time.Now()
	retryAfter, ok := r.takeQuota()
	if ok || retryAfter <= 0 {
		t.Fatalf("admitted %v, retry after %v", ok, retryAfter)
	}
	if took := time.Since(started); took < answerTimeOfTwo || took > 10*time.Second {
		t.Fatalf("rejected after %v", took)
	}
	if len(r.server.quota.waiting) != 0 {
		t.Fatal("the request still waits")
	}
}

// Guards against instances that no longer reach each other while the store has dropped their registrations: those lapse
// during an outage, and each instance would have its own portion only until all have registered again.
func TestLapsedRegistrationsStayMembersForAWhile(t *testing.T) {
	s := newQuotaTestRequest(t).server
	s.instances.put("edge-2", exchange.InstanceDoc{Exchange: "127.0.0.1:9", MemoryMB: 500})
	s.quota.update(0)
	s.instances.remove("edge-2")
	asks := func(at time.Duration) bool {
		s.quota.update(at)
		out, _ := s.quota.account.Poll(at)
		return len(out) > 0 && out[0].To == "edge-2" && s.quota.addressOf("edge-2") == "127.0.0.1:9"
	}
	if !asks(memberGrace - time.Second) {
		t.Fatal("an instance whose registration lapsed is not asked")
	}
	if asks(memberGrace) {
		t.Fatal("an instance is asked long after its registration lapsed")
	}
}

// Guards against a restarted instance that uses its portion only after the settling time of a new one, and against a new
// one that uses it before the others count it.
func TestOwnEntryOfAPreviousProcess(t *testing.T) {
	for name, c := range map[string]struct {
		registering bool
		item        kvstore.KeyValue
		want        bool
	}{
		"read before the registration":              {false, kvstore.KeyValue{CreateRevision: 7, ModRevision: 7}, true},
		"own, in place of that of the last process": {true, kvstore.KeyValue{CreateRevision: 7, ModRevision: 9}, true},
		"own, new": {true, kvstore.KeyValue{CreateRevision: 9, ModRevision: 9}, false},
	} {
		s := newQuotaTestRequest(t).server
		s.registering.Store(c.registering)
		w := &storeWatcher{server: s}
		c.item.Value = []byte(`{"exchange":"127.0.0.1:9","memoryMb":500}`)
		w.putInstance("edge-1", &c.item)
		now := timing.SinceBoot()
		s.quota.poll(now)
		// Between the two settling times.
		if got := s.quota.account.OwnsPortion(now + 5*time.Second); got != c.want {
			t.Errorf("%s: owns its portion after 5 s: %v", name, got)
		}
	}
}
