// Package membudget bounds the memory that a process holds for its clients and endpoints: request heads and bodies,
// buffered responses and streams. When the budget is exhausted, holders that may be evicted are evicted in the order of
// Victim.
package membudget

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrEvicted means that a reservation was evicted for the growth of others.
	ErrEvicted = errors.New("memory reservation evicted")
	// ErrExhausted means that the budget has too little left and nothing that may be evicted.
	ErrExhausted = errors.New("memory budget is exhausted")
)

const (
	// smallBytes is the size up to which a reservation may use the whole budget. Larger ones leave 1/smallReserveDivisor of it, so
	// that small requests and responses never wait for large ones.
	smallBytes          = 64 << 10
	smallReserveDivisor = 8
)

// Budget is a bound on the bytes of all its reservations. A nil Budget grants everything. It is safe for concurrent use.
type Budget struct {
	capacity int64

	mu   sync.Mutex
	used int64
	// pendingRelease is the part of used that evicted reservations have not released yet.
	pendingRelease int64
	evictable      map[*Reservation]struct{}
	// waiters is the queue of growths that wait for releases, waitingBytes their sum.
	waiters      list.List
	waitingBytes int64
	evictions    int64
}

type waiter struct {
	reservation *Reservation
	bytes       int64
	ready       chan struct{}
}

// New returns a budget of the given size.
func New(bytes int64) *Budget {
	return &Budget{capacity: bytes, evictable: make(map[*Reservation]struct{})}
}

// Usage returns the reserved bytes and the number of evictions so far.
func (b *Budget) Usage() (used, evictions int64) {
	if b == nil {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.evictions
}

// Reservation is the share of a Budget that one holder has. Its methods except for the eviction by others must not be
// called concurrently.
type Reservation struct {
	budget *Budget

	// The fields below are guarded by the budget's mutex.
	bytes   int64
	grownAt time.Time
	evict   func()
	evicted bool
}

// Reserve returns an empty reservation that is never evicted. It must be released.
func (b *Budget) Reserve() *Reservation {
	return &Reservation{budget: b}
}

// ReserveEvictable returns an empty reservation that may be evicted until Settle. It must be released. evict is called at
// most once, from another goroutine and without locks of the budget. The holder must then release the reservation soon.
func (b *Budget) ReserveEvictable(evict func()) *Reservation {
	r := &Reservation{budget: b, evict: evict}
	if b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.evictable[r] = struct{}{}
	}
	return r
}

func (r *Reservation) unlimited() bool {
	return r == nil || r.budget == nil
}

// Settle makes the reservation permanent. It returns false if it was evicted before.
func (r *Reservation) Settle() bool {
	if r.unlimited() {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.evicted {
		return false
	}
	delete(r.budget.evictable, r)
	r.evict = nil
	return true
}

// Evicted reports whether the reservation was evicted.
func (r *Reservation) Evicted() bool {
	if r.unlimited() {
		return false
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.evicted
}

// fitsLocked reports whether r may grow by bytes now.
func (b *Budget) fitsLocked(r *Reservation, bytes int64) bool {
	available := b.capacity
	if r.bytes+bytes > smallBytes {
		available -= available / smallReserveDivisor
	}
	return b.used+bytes <= available
}

func (b *Budget) takeLocked(r *Reservation, bytes int64) {
	b.used += bytes
	r.bytes += bytes
	r.grownAt = time.Now()
}

// TryGrow adds bytes to the reservation, and returns false if the budget has too few left.
func (r *Reservation) TryGrow(bytes int) bool {
	if r.unlimited() {
		return true
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted || !b.mayTakeLocked(r, int64(bytes)) {
		return false
	}
	b.takeLocked(r, int64(bytes))
	return true
}

// mayTakeLocked reports whether r may grow now without overtaking waiters. Small growths overtake them.
func (b *Budget) mayTakeLocked(r *Reservation, bytes int64) bool {
	return b.fitsLocked(r, bytes) && (b.waiters.Len() == 0 || r.bytes+bytes <= smallBytes)
}

// Grow adds bytes to the reservation. If the budget has too few left, others that may be evicted are evicted, and Grow waits
// until enough is released. A reservation that may be evicted itself never waits for anything else: it gets ErrEvicted
// when it is the one to be evicted. Any other one waits until the context ends or the deadline has passed; a zero
// deadline means no deadline.
func (r *Reservation) Grow(ctx context.Context, deadline time.Time, bytes int) error {
	if r.unlimited() || r.TryGrow(bytes) {
		return nil
	}
	if r.mayYield() {
		// It must not wait for those that wait like itself.
		return r.GrowByEviction(ctx, bytes)
	}
	return r.growWithin(ctx, deadline, bytes, false)
}

// GrowByEviction adds bytes to the reservation. If the budget has too few left, others that may be evicted are evicted. It
// waits for these only, and returns ErrExhausted at once if they do not suffice, so that holders that grow step by step
// never wait for each other.
func (r *Reservation) GrowByEviction(ctx context.Context, bytes int) error {
	if r.unlimited() || r.TryGrow(bytes) {
		return nil
	}
	// Small growths may overtake this one meanwhile.
	return r.growWithin(ctx, time.Now().Add(releaseTimeout), bytes, true)
}

// growWithin evicts others and waits for memory until the deadline; zero means no deadline. byEviction makes it fail at once
// where evictions do not suffice.
func (r *Reservation) growWithin(ctx context.Context, deadline time.Time, bytes int, byEviction bool) error {
	wait, victims, err := r.budget.makeRoom(r, int64(bytes), byEviction)
	for _, evict := range victims {
		evict()
	}
	if err != nil || wait == nil {
		return err
	}
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	select {
	case <-wait.ready:
		return r.errIfEvicted()
	case <-ctx.Done():
		if r.budget.stopWaiting(wait) {
			return errors.Wrapf(ErrExhausted, "%v", ctx.Err())
		}
		return r.errIfEvicted()
	}
}

// releaseTimeout bounds the wait for evicted reservations to be released, which takes a few milliseconds.
const releaseTimeout = time.Second

func (r *Reservation) mayYield() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	_, found := r.budget.evictable[r]
	return found
}

func (r *Reservation) errIfEvicted() error {
	if r.Evicted() {
		return ErrEvicted
	}
	return nil
}

// makeRoom evicts holders until the growth fits, and enqueues it until they have released their memory. It returns the
// functions that tell the victims. With byEviction, it fails if evictions do not suffice.
func (b *Budget) makeRoom(r *Reservation, bytes int64, byEviction bool) (*waiter, []func(), error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted {
		return nil, nil, ErrEvicted
	}
	if b.mayTakeLocked(r, bytes) {
		b.takeLocked(r, bytes)
		return nil, nil, nil
	}
	victims := b.evictForLocked(r, bytes)
	if r.evicted {
		return nil, victims, ErrEvicted
	}
	if byEviction && !b.willFitLocked(r, bytes) {
		return nil, victims, ErrExhausted
	}
	w := &waiter{reservation: r, bytes: bytes, ready: make(chan struct{})}
	b.waiters.PushBack(w)
	b.waitingBytes += bytes
	return w, victims, nil
}

// willFitLocked reports whether the growth fits once all evicted reservations are released and the growths that wait
// already are granted.
func (b *Budget) willFitLocked(r *Reservation, bytes int64) bool {
	change := b.waitingBytes - b.pendingRelease
	b.used += change
	fits := b.fitsLocked(r, bytes)
	b.used -= change
	return fits
}

// evictForLocked evicts holders until the growth of r fits. It evicts none if that does not suffice. A large growth takes
// nothing from small holders.
func (b *Budget) evictForLocked(r *Reservation, bytes int64) []func() {
	if b.willFitLocked(r, bytes) {
		return nil
	}
	now := time.Now()
	isLarge := r.bytes+bytes > smallBytes
	evictableBytes := int64(0)
	holders := make([]*Reservation, 0, len(b.evictable))
	claims := make([]Claim, 0, len(b.evictable))
	for holder := range b.evictable {
		claim := Claim{Bytes: holder.bytes, Idle: now.Sub(holder.grownAt)}
		if holder == r {
			claim = Claim{Bytes: holder.bytes + bytes}
		} else if isLarge && holder.bytes <= smallBytes {
			continue
		} else {
			evictableBytes += holder.bytes
		}
		holders, claims = append(holders, holder), append(claims, claim)
	}
	b.pendingRelease += evictableBytes
	suffices := b.willFitLocked(r, bytes)
	b.pendingRelease -= evictableBytes
	if !suffices {
		return nil
	}
	var chosen []*Reservation
	for !b.willFitLocked(r, bytes) {
		i := Victim(claims)
		if i < 0 {
			break
		}
		claims[i].Bytes = 0
		if holders[i] == r {
			// The others would be evicted in vain.
			b.pendingRelease -= totalBytes(chosen)
			b.pendingRelease += r.bytes
			chosen = nil
			b.markEvictedLocked(r)
			break
		}
		b.pendingRelease += holders[i].bytes
		chosen = append(chosen, holders[i])
	}
	victims := make([]func(), 0, len(chosen))
	for _, holder := range chosen {
		b.markEvictedLocked(holder)
		b.wakeEvictedLocked(holder)
		victims = append(victims, holder.evict)
	}
	return victims
}

func totalBytes(holders []*Reservation) int64 {
	total := int64(0)
	for _, holder := range holders {
		total += holder.bytes
	}
	return total
}

func (b *Budget) markEvictedLocked(holder *Reservation) {
	delete(b.evictable, holder)
	holder.evicted = true
	b.evictions++
}

func (b *Budget) removeLocked(e *list.Element) {
	b.waitingBytes -= e.Value.(*waiter).bytes
	b.waiters.Remove(e)
}

// wakeEvictedLocked ends the wait of an evicted holder, if it waits, without memory.
func (b *Budget) wakeEvictedLocked(holder *Reservation) {
	for e := b.waiters.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*waiter); w.reservation == holder {
			b.removeLocked(e)
			close(w.ready)
			return
		}
	}
}

// stopWaiting removes a waiter, and returns false if it has its memory already.
func (b *Budget) stopWaiting(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.waiters.Front(); e != nil; e = e.Next() {
		if e.Value == w {
			b.removeLocked(e)
			// The growths behind it may fit now.
			b.wakeLocked()
			return true
		}
	}
	return false
}

// wakeLocked grants waiting growths in their order, as far as they fit.
func (b *Budget) wakeLocked() {
	for e := b.waiters.Front(); e != nil; e = b.waiters.Front() {
		w := e.Value.(*waiter)
		if !b.fitsLocked(w.reservation, w.bytes) {
			return
		}
		b.takeLocked(w.reservation, w.bytes)
		b.removeLocked(e)
		close(w.ready)
	}
}

// Shrink returns bytes to the budget.
func (r *Reservation) Shrink(bytes int) {
	if r.unlimited() {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.returnLocked(min(int64(bytes), r.bytes))
}

func (r *Reservation) returnLocked(bytes int64) {
	b := r.budget
	b.used -= bytes
	r.bytes -= bytes
	if r.evicted {
		b.pendingRelease -= bytes
	}
	b.wakeLocked()
}

// Release returns all bytes to the budget. A reservation that is never evicted may be used again.
func (r *Reservation) Release() {
	if r.unlimited() {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.evictable, r)
	r.returnLocked(r.bytes)
}
