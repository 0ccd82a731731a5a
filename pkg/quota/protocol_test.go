package quota

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testWorkspace = Key(7)

func testLimits(rate, burst float64) Limits {
	return Limits{Version: 3, Of: map[Key]Limit{testWorkspace: {Rate: rate, Burst: burst}}}
}

// pair returns an account and a pool of another process to which the account lends the whole of the quotas.
func pair(rate, burst float64) (*Account, *Pool, time.Duration) {
	now := time.Second
	account, pool := NewAccount("edge-1", 11), NewPool(22)
	account.Configure(testLimits(rate, burst))
	pool.Configure(testLimits(rate, burst), now)
	account.SetMembers([]Member{{Name: "edge-1"}}, now)
	now += settleTime
	for range 20 {
		exchangeAll(account, pool, now)
		now += renewalInterval(1)
	}
	return account, pool, now
}

// exchangeAll delivers what the account sends to the pool, and the answers.
func exchangeAll(account *Account, pool *Pool, now time.Duration) (decisions []Decision, answers []*Answer) {
	out, _ := account.Poll(now)
	for _, e := range out {
		answer := pool.Receive("edge-1", e.Message.Request, 1, now)
		answers = append(answers, answer)
		decisions = append(decisions, account.Receive(e.To, answer, now)...)
	}
	return decisions, answers
}

// Guards against counting a credit again when the datagram that carries it arrives twice, and against granting again what a
// repeated request asks for.
func TestLateCopiesCountForNothing(t *testing.T) {
	account, pool, now := pair(10000, 10000)
	if d := account.Admit(testWorkspace, 4000, time.Second, now); d.Waiter == 0 {
		t.Fatalf("decided without the coordinator: %+v", d)
	}
	out, _ := account.Poll(now)
	request := out[0].Message.Request
	answer := pool.Receive("edge-1", request, 1, now)
	if again := pool.Receive("edge-1", request, 1, now); again != nil {
		t.Fatalf("a copy of a request is answered with %+v", again)
	}
	if d := account.Receive("edge-1", answer, now); len(d) != 1 || !d[0].Admitted {
		t.Fatalf("decisions %+v", d)
	}
	account.Receive("edge-1", answer, now)
	if d := account.Admit(testWorkspace, 4000, time.Second, now); d.Admitted {
		t.Fatal("the copy of an answer covers another request")
	}
}

// Guards against an answer of an earlier process of the same instance giving credit to this one.
func TestAnswerToEarlierProcessCountsForNothing(t *testing.T) {
	account, pool, now := pair(10000, 10000)
	account.Admit(testWorkspace, 4000, time.Second, now)
	out, _ := account.Poll(now)
	answer := pool.Receive("edge-1", out[0].Message.Request, 1, now)
	answer.RequestEpoch--
	if d := account.Receive("edge-1", answer, now); len(d) != 0 || account.workspaces[testWorkspace].credits != nil {
		t.Fatalf("decisions %+v", d)
	}
}

// Guards against a loan to an earlier process of the coordinator that counts at the next one, whose buckets know nothing of
// what the earlier one granted, and against a loan that counts from its arrival instead of from the time that it repeats.
func TestLoanIsBoundToProcessAndTime(t *testing.T) {
	request := func(epoch int64) *Request {
		return &Request{Epoch: 11, Number: 1, CoordinatorEpoch: epoch, CoordinatorTime: time.Second, LentFor: time.Second, Instances: 1}
	}
	pool := NewPool(22)
	pool.Receive("edge-1", request(21), 1, time.Second)
	if share := pool.Share(time.Second); share != 0 {
		t.Errorf("share %v is lent to an earlier process", share)
	}
	pool = NewPool(22)
	pool.Receive("edge-1", request(22), 1, 1900*time.Millisecond)
	if share := pool.Share(1900 * time.Millisecond); share != 1 {
		t.Errorf("share is %v during the loan", share)
	}
	if share := pool.Share(2 * time.Second); share != 0 {
		t.Errorf("share is %v after the loan", share)
	}
}

// Guards against granting a burst twice, when a coordinator takes over or while a part of the portions is lent only.
func TestBurstIsNotGrantedTwice(t *testing.T) {
	pool := NewPool(22)
	pool.Configure(testLimits(1000, 50000), 0)
	now, number := time.Duration(0), int64(0)
	grant := func(instances int, cost int64) int64 {
		defer func() { number += 2 }()
		pool.Receive("edge-1", &Request{
			Epoch: 11, Number: number + 1, CoordinatorEpoch: 22, CoordinatorTime: now, LentFor: time.Second, Instances: instances,
		}, instances, now)
		answer := pool.Receive("edge-1", &Request{Epoch: 11, Number: number + 2, Demands: []Demand{
			{Workspace: testWorkspace, Costs: []int64{cost}},
		}}, instances, now)
		if len(answer.Grants) == 0 {
			return 0
		}
		return answer.Grants[0].Amount
	}
	if amount := grant(1, 2000); amount != 0 {
		t.Fatalf("a new coordinator grants %d at once", amount)
	}
	for range 600 {
		now += 200 * time.Millisecond
		grant(4, 1e9)
	}
	if amount := grant(4, 50000); amount != 0 {
		t.Fatalf("%d are granted with a quarter of the portions", amount)
	}
	if amount := grant(4, 12500); amount != 12500 {
		t.Fatalf("%d are granted with a quarter of the portions, which has a burst of 12500", amount)
	}
}

// Guards against charging a request that no endpoint has run, and against a refund that outlives its credit.
func TestRefund(t *testing.T) {
	account, pool, now := pair(10000, 10000)
	account.Admit(testWorkspace, 4000, time.Second, now)
	decisions, _ := exchangeAll(account, pool, now)
	if len(decisions) != 1 || !decisions[0].Admitted {
		t.Fatalf("decisions %+v", decisions)
	}
	charge := decisions[0].Charge
	if charge.Expires != now+sendTime {
		t.Fatalf("the charge may be used for %v", charge.Expires-now)
	}
	account.Refund(charge)
	d := account.Renew(testWorkspace, 4000, time.Second, now+200*time.Millisecond)
	if !d.Admitted || d.Charge.Expires != charge.Expires {
		t.Fatalf("after a refund: %+v, the first charge expires at %v", d, charge.Expires)
	}
	account.Refund(d.Charge)
	if d := account.Renew(testWorkspace, 4000, time.Second, now+creditTime); d.Admitted {
		t.Fatal("a refund covers a request after the credit has expired")
	}
}

// Guards against rejected clients that are all told to return at the same time, when only one of them fits.
func TestRetryAfterSpacesRequests(t *testing.T) {
	account, pool, now := pair(10000, 10000)
	for range 6 {
		account.Admit(testWorkspace, 4000, time.Minute, now)
	}
	decisions, _ := exchangeAll(account, pool, now)
	var times []time.Duration
	for _, d := range decisions {
		if !d.Admitted {
			times = append(times, d.RetryAfter.Round(time.Millisecond))
		}
	}
	// Three requests are covered, the last of them with a debt of 2,000.
	want := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, time.Second}
	if !reflect.DeepEqual(times, want) {
		t.Fatalf("rejected requests return after %v, want %v", times, want)
	}
	now += requestGap(1)
	account.Admit(testWorkspace, 4000, time.Minute, now)
	decisions, _ = exchangeAll(account, pool, now)
	if len(decisions) != 1 || decisions[0].RetryAfter < 1200*time.Millisecond {
		t.Fatalf("a later request is not told to return after those before it: %+v", decisions)
	}
}

// Guards against a credit that was granted under a higher limit than the one in force here.
func TestLowerLimitCounts(t *testing.T) {
	account, pool, now := pair(10000, 10000)
	lowered := testLimits(1000, 1000)
	lowered.Version++
	account.Configure(lowered)
	account.Admit(testWorkspace, 4000, time.Second, now)
	decisions, answers := exchangeAll(account, pool, now)
	if len(decisions) != 1 || decisions[0].Admitted {
		t.Fatalf("decisions %+v with grants %+v", decisions, answers[0].Grants)
	}
}

// Guards against messages between instances without limits.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	account := NewAccount("edge-1", 11)
	account.SetMembers([]Member{{Name: "edge-1"}, {Name: "edge-2"}}, 0)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		if d := account.Admit(testWorkspace, 1e9, 0, now); !d.Admitted {
			t.Fatalf("a request without a limit is decided as %+v", d)
		}
		if out, _ := account.Poll(now); len(out) > 0 {
			t.Fatalf("%d messages are sent", len(out))
		}
	}
}

// Guards against an instance that is cut off from the store and uses its portion after the others no longer count it.
func TestPortionEndsWithoutRegistration(t *testing.T) {
	account, _, now := pair(10000, 10000)
	account.ConfirmRegistration(now)
	if !account.OwnsPortion(now+registrationUse-1) || account.OwnsPortion(now+registrationUse) {
		t.Fatal("the portion does not end when the registration may have been forgotten")
	}
	if registrationUse >= memberRetention {
		t.Fatal("the others forget the instance before it stops")
	}
}

// Guards against losing values in the encoding, and against a panic on a malformed message.
func TestEncoding(t *testing.T) {
	number := rapid.Int64Range(0, 1<<40)
	duration := rapid.Map(number, func(n int64) time.Duration { return time.Duration(n) * time.Microsecond })
	key := rapid.Map(rapid.Uint32(), func(n uint32) Key { return Key(n) })
	rapid.Check(t, func(t *rapid.T) {
		m := Message{Request: &Request{
			Epoch: number.Draw(t, "epoch"), Number: number.Draw(t, "number"), Version: number.Draw(t, "version"),
			CoordinatorEpoch: number.Draw(t, "coordinator"), CoordinatorTime: duration.Draw(t, "time"), LentFor: duration.Draw(t, "lent"),
			Instances: rapid.IntRange(0, 400).Draw(t, "instances"),
		}}
		for range rapid.IntRange(0, 3).Draw(t, "demands") {
			m.Request.Demands = append(m.Request.Demands, Demand{
				Workspace: key.Draw(t, "key"), Costs: rapid.SliceOfN(number, 1, 3).Draw(t, "costs"), Advance: number.Draw(t, "advance"),
				Patience: duration.Draw(t, "patience"), Used: number.Draw(t, "used"),
			})
		}
		if rapid.Bool().Draw(t, "answer") {
			m = Message{Answer: &Answer{
				Epoch: number.Draw(t, "epoch"), Time: duration.Draw(t, "time"), RequestEpoch: number.Draw(t, "requestEpoch"),
				Request: number.Draw(t, "request"), Version: number.Draw(t, "version"), Instances: 63, Share: number.Draw(t, "share"),
				Grants: []Grant{{Workspace: key.Draw(t, "key"), Amount: number.Draw(t, "amount"), Wait: duration.Draw(t, "wait"), Rate: 17.5}},
				Usage:  []Usage{{Workspace: key.Draw(t, "key"), PerSecond: number.Draw(t, "usage")}},
			}}
		}
		data := m.Encode()
		decoded, err := Decode(data)
		if err != nil || !reflect.DeepEqual(*decoded, m) {
			t.Fatalf("decoded %+v, %v, want %+v", decoded, err, m)
		}
		if _, err := Decode(data[:rapid.IntRange(0, len(data)-1).Draw(t, "length")]); err == nil {
			t.Fatal("a message that is cut off is decoded")
		}
		_, _ = Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"))
	})
}

// Guards against usage of other instances that is missing or does not end, which fair queueing would rely on.
func TestUsageIsReported(t *testing.T) {
	account, pool, now := pair(100000, 100000)
	for range 100 {
		account.Admit(testWorkspace, 2000, time.Second, now)
		exchangeAll(account, pool, now)
		now += 100 * time.Millisecond
	}
	if usage := account.Usage()[testWorkspace]; usage < 15000 || usage > 25000 {
		t.Fatalf("usage is %v of 20000 per second", usage)
	}
	for range 200 {
		now += 100 * time.Millisecond
		exchangeAll(account, pool, now)
	}
	if usage := account.Usage()[testWorkspace]; usage > 1000 {
		t.Fatalf("usage is %v after 20 s without requests", usage)
	}
}

// Guards against a new coordinator that takes all that an instance has admitted since its start for the usage of a moment.
func TestNewCoordinatorCountsUsageFromTheFirstReport(t *testing.T) {
	account, pool, now := pair(100000, 100000)
	for range 100 {
		account.Admit(testWorkspace, 2000, time.Second, now)
		exchangeAll(account, pool, now)
		now += 100 * time.Millisecond
	}
	next := NewPool(33)
	next.Configure(testLimits(100000, 100000), now)
	for range 2 {
		exchangeAll(account, next, now)
		now += 400 * time.Millisecond
	}
	if usage := next.usage(now); len(usage) > 0 && usage[0].PerSecond > 20000 {
		t.Fatalf("usage is %d of 20000 per second", usage[0].PerSecond)
	}
}

// Guards against rejecting a request that waits when its workspace is no longer limited.
func TestWaitEndsWithTheLimit(t *testing.T) {
	account, _, now := pair(10000, 10000)
	d := account.Admit(testWorkspace, 4000, time.Second, now)
	if d.Waiter == 0 {
		t.Fatalf("decided without the coordinator: %+v", d)
	}
	decisions := account.Configure(Limits{Version: 4})
	if len(decisions) != 1 || decisions[0].Waiter != d.Waiter || !decisions[0].Admitted {
		t.Fatalf("decisions %+v", decisions)
	}
}
