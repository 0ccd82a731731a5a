package edge

import (
	"sync/atomic"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/timing"
)

// staleViewAfter is the time without the store after which an instance accepts the endpoints of other instances.
const staleViewAfter = 1500 * time.Millisecond

// storeView is the state of this instance's view of the store. It is safe for concurrent use.
type storeView struct {
	// revision is the revision up to which all changes are known.
	revision atomic.Int64
	// completeAt is the latest time at which the view is known to have been complete; nil before the first read.
	completeAt atomic.Pointer[completeTime]
	// sinceBoot returns the time since boot, also that for which the machine was suspended; nil selects timing.SinceBoot.
	sinceBoot func() time.Duration
	// peerRevision is the revision of the endpoints last received from another instance; guarded by the server's
	// viewMu.
	peerRevision int64
	// unreachableSince is nil while the store responds.
	unreachableSince atomic.Pointer[time.Time]
	// peerEndpointsApplied is set once endpoints of another instance were applied in the present outage.
	peerEndpointsApplied atomic.Bool
}

// completeTime is a time by the monotonic clock, which excludes the time for which the machine was suspended, and since boot.
type completeTime struct {
	at        time.Time
	sinceBoot time.Duration
}

// endpointsReflect reports whether the endpoints received from another instance already reflect a revision, so that an
// update as of that revision must not change them. The caller holds the server's viewMu.
func (v *storeView) endpointsReflect(revision int64) bool {
	return revision <= v.peerRevision
}

func (v *storeView) setUnreachable(now time.Time) {
	v.unreachableSince.Store(&now)
	v.peerEndpointsApplied.Store(false)
}

func (v *storeView) setReachable() {
	v.unreachableSince.Store(nil)
}

// recordComplete records that the view was complete at a time, which may be earlier than a recorded one. Calls must not
// overlap.
func (v *storeView) recordComplete(at time.Time) {
	if at.After(v.lastComplete()) {
		v.completeAt.Store(&completeTime{at: at, sinceBoot: v.uptime() - time.Since(at)})
	}
}

func (v *storeView) uptime() time.Duration {
	if v.sinceBoot != nil {
		return v.sinceBoot()
	}
	return timing.SinceBoot()
}

// lastComplete returns the latest time at which the view is known to have been complete; the zero time means never.
func (v *storeView) lastComplete() time.Time {
	if last := v.completeAt.Load(); last != nil {
		return last.at
	}
	return time.Time{}
}

// age returns the time since the view was last known to be complete, also that for which the machine was suspended: a relay
// whose machine was would otherwise tell its old view as a recent one.
func (v *storeView) age(now time.Time) time.Duration {
	age := now.Sub(v.lastComplete())
	if last := v.completeAt.Load(); last != nil {
		age = max(age, v.uptime()-last.sinceBoot-time.Since(now))
	}
	return age
}

func (v *storeView) stale(now time.Time) bool {
	since := v.unreachableSince.Load()
	return since != nil && now.Sub(*since) >= staleViewAfter
}
