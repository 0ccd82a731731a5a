package membudget

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against sparing a stalled or large body at the cost of small ones and of those that make progress.
func TestVictimSparesSmallAndProgressingClaims(t *testing.T) {
	const kb = 1 << 10
	for _, test := range []struct {
		name   string
		claims []Claim
		want   int
	}{
		{"nothing is held", []Claim{{}, {Idle: time.Hour}}, -1},
		{"no claims", nil, -1},
		{"the largest of those that grow", []Claim{{Bytes: 16 * kb}, {Bytes: 900 * kb}, {Bytes: 300 * kb}}, 1},
		{"the stalled one of equal size", []Claim{{Bytes: 900 * kb}, {Bytes: 900 * kb, Idle: 5 * time.Second}}, 1},
		{"a stalled one before a larger one that grows", []Claim{{Bytes: 4000 * kb}, {Bytes: 3500 * kb, Idle: 2 * time.Second}}, 1},
		{"a large one that grows before a small stalled one", []Claim{{Bytes: 3500 * kb}, {Bytes: 32 * kb, Idle: 15 * time.Second}}, 0},
	} {
		if got := Victim(test.claims); got != test.want {
			t.Errorf("%s: victim %d, want %d", test.name, got, test.want)
		}
	}
}

// Guards against a crowd of stalled bodies that keeps a small request out.
func TestStalledClaimGivesWay(t *testing.T) {
	b := New(1000 << 10)
	var stalled *Reservation
	stalled = b.ReserveEvictable(func() { stalled.Release() })
	if err := stalled.Grow(context.Background(), time.Time{}, 800<<10); err != nil {
		t.Fatal(err)
	}
	small := b.ReserveEvictable(func() { t.Error("the small one was evicted") })
	if err := small.Grow(context.Background(), time.Time{}, 400<<10); err != nil {
		t.Fatal(err)
	}
	if !stalled.Evicted() || stalled.Settle() || !small.Settle() {
		t.Fatal("the stalled body kept its memory")
	}
	if used, evictions := b.Usage(); used != 400<<10 || evictions != 1 {
		t.Fatalf("%d bytes used, %d evictions", used, evictions)
	}
}

// Guards against a request that waits for ever, where all memory is held by requests that cannot give way.
func TestGrowthIsRefusedOrWaitsWhereNothingGivesWay(t *testing.T) {
	b := New(1000 << 10)
	settled := b.Reserve()
	if !settled.TryGrow(800 << 10) {
		t.Fatal("the budget is not free")
	}
	body := b.ReserveEvictable(func() {})
	if err := body.Grow(context.Background(), time.Time{}, 300<<10); !errors.Is(err, ErrEvicted) && !errors.Is(err, ErrExhausted) {
		t.Fatalf("got %v", err)
	}
	response := b.Reserve()
	if err := response.Grow(context.Background(), time.Now().Add(time.Millisecond), 300<<10); !errors.Is(err, ErrExhausted) {
		t.Fatalf("got %v", err)
	}
	done := make(chan error, 1)
	go func() { done <- response.Grow(context.Background(), time.Time{}, 300<<10) }()
	settled.Release()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against a response that is given up although unfinished bodies hold the memory, and against responses that wait
// for each other.
func TestGrowthByEvictionWaitsForEvictedHoldersOnly(t *testing.T) {
	b := New(1000 << 10)
	release := make(chan struct{})
	var stalled *Reservation
	stalled = b.ReserveEvictable(func() {
		go func() {
			<-release
			stalled.Release()
		}()
	})
	if err := stalled.Grow(context.Background(), time.Time{}, 800<<10); err != nil {
		t.Fatal(err)
	}
	response := b.Reserve()
	done := make(chan error, 1)
	go func() { done <- response.GrowByEviction(context.Background(), 400<<10) }()
	close(release)
	if err := <-done; err != nil || !stalled.Evicted() {
		t.Fatalf("the response does not take the memory of a stalled body: %v", err)
	}
	other := b.Reserve()
	if err := other.GrowByEviction(context.Background(), 600<<10); !errors.Is(err, ErrExhausted) {
		t.Fatalf("growth over what others keep: %v", err)
	}
	if used, evictions := b.Usage(); used != 400<<10 || evictions != 1 || b.waiters.Len() != 0 {
		t.Fatalf("%d bytes used, %d evictions, %d wait", used, evictions, b.waiters.Len())
	}
}

// Guards against small requests that wait for large ones.
func TestSmallGrowthOvertakesLargeOnes(t *testing.T) {
	b := New(1000 << 10)
	large := b.Reserve()
	if !large.TryGrow(875 << 10) {
		t.Fatal("the budget is not free")
	}
	if b.Reserve().TryGrow(100 << 10) {
		t.Fatal("a large growth took the part for small ones")
	}
	if !b.Reserve().TryGrow(60 << 10) {
		t.Fatal("a small growth was refused")
	}
}

// Guards against large responses that wait for memory and take it from small requests, which frees too little for them.
func TestLargeGrowthTakesNothingFromSmallHolders(t *testing.T) {
	b := New(1000 << 10)
	large, waiting := b.Reserve(), b.Reserve()
	if !large.TryGrow(800 << 10) {
		t.Fatal("the budget is not free")
	}
	for range 3 {
		small := b.ReserveEvictable(func() { t.Error("a small holder was evicted") })
		if err := small.Grow(context.Background(), time.Time{}, 32<<10); err != nil {
			t.Fatal(err)
		}
	}
	if err := waiting.Grow(context.Background(), time.Now().Add(time.Millisecond), 800<<10); !errors.Is(err, ErrExhausted) {
		t.Fatalf("got %v", err)
	}
	if _, evictions := b.Usage(); evictions != 0 {
		t.Fatalf("%d evictions", evictions)
	}
}

// Guards against a sum above the budget, and against bytes that are lost to it, under concurrent use.
func TestSumNeverExceedsTheBudget(t *testing.T) {
	const capacity = 1 << 20
	b := New(capacity)
	var holders sync.WaitGroup
	for n := range 50 {
		holders.Go(func() {
			for range 100 {
				evicted := make(chan struct{})
				r := b.ReserveEvictable(func() { close(evicted) })
				for range 4 {
					if r.Grow(context.Background(), time.Time{}, (1+n)<<10) != nil {
						break
					}
					if used, _ := b.Usage(); used > capacity {
						t.Errorf("%d bytes used", used)
					}
				}
				r.Settle()
				r.Release()
			}
		})
	}
	holders.Wait()
	if used, _ := b.Usage(); used != 0 || b.pendingRelease != 0 || b.waiters.Len() != 0 || len(b.evictable) != 0 {
		t.Fatalf("%d bytes used, %d pendingRelease, %d waiters, %d evictable", used, b.pendingRelease, b.waiters.Len(), len(b.evictable))
	}
}

// Guards against evicting others in vain for a growth that is evicted itself.
func TestEvictedGrowthEvictsNobodyElse(t *testing.T) {
	b := New(1000 << 10)
	settled := b.Reserve()
	if !settled.TryGrow(300 << 10) {
		t.Fatal("the budget is not free")
	}
	idle, other, growing := b.ReserveEvictable(func() { t.Error("evicted in vain") }), b.ReserveEvictable(func() {}), b.ReserveEvictable(func() {})
	for r, bytes := range map[*Reservation]int{idle: 200 << 10, other: 350 << 10, growing: 20 << 10} {
		if err := r.Grow(context.Background(), time.Time{}, bytes); err != nil {
			t.Fatal(err)
		}
	}
	idle.grownAt = time.Now().Add(-time.Hour)
	if err := growing.Grow(context.Background(), time.Time{}, 450<<10); !errors.Is(err, ErrEvicted) {
		t.Fatalf("got %v", err)
	}
}
