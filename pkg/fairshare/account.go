package fairshare

import (
	"math"
	"time"
)

// accountSet is a set of accounts that compete with each other: the members, or the models of one member.
type accountSet struct {
	accounts map[string]*account
	// virtualTime is the highest value so far of the minimum counter of the waiting accounts. An account is lifted to
	// it when it begins to wait.
	virtualTime float64
}

func newAccountSet() *accountSet {
	return &accountSet{accounts: make(map[string]*account)}
}

// account is the usage of one member or of one of its models.
type account struct {
	share float64
	// localService is the service through this instance, remoteService that through other instances.
	localService  float64
	remoteService float64
	// expectedService is the charge for the remaining part of running calls.
	expectedService float64
	// lift is added to the counter and has its unit.
	lift                float64
	waiting             int
	remoteWaiting       int
	localRecentService  decayingSum
	remoteRecentService decayingSum
	models              *accountSet // of a member; nil for a model
}

func (s *accountSet) account(name string, share float64) *account {
	found := s.accounts[name]
	if found == nil {
		found = &account{share: share}
		s.accounts[name] = found
	}
	return found
}

func (a *account) counter() float64 {
	return a.lift + (a.localService+a.remoteService+a.expectedService)/a.share
}

func (a *account) setShare(share float64) {
	previous := a.counter()
	a.share = share
	a.lift += previous - a.counter()
}

// addWaiting changes the number of waiting calls of an account, and lifts its counter when it begins to wait.
func (s *accountSet) addWaiting(a *account, delta int) {
	s.advanceVirtualTime()
	if a.waiting == 0 && delta > 0 {
		s.liftToVirtualTime(a)
	}
	a.waiting += delta
}

// addRemoteWaiting changes the number of calls that wait at other instances. The account is lifted when it begins to
// wait there: it competes from then on, and its old counter would hold down the minimum for all others.
func (s *accountSet) addRemoteWaiting(a *account, delta int) {
	s.advanceVirtualTime()
	if a.waiting+a.remoteWaiting == 0 && delta > 0 {
		s.liftToVirtualTime(a)
	}
	a.remoteWaiting += delta
}

func (s *accountSet) liftToVirtualTime(a *account) {
	if deficit := s.virtualTime - a.counter(); deficit > 0 {
		a.lift += deficit
	}
}

// advanceVirtualTime raises virtualTime to the minimum counter of the accounts that wait here or at another instance.
func (s *accountSet) advanceVirtualTime() {
	minCounter, found := 0.0, false
	for _, a := range s.accounts {
		if a.waiting+a.remoteWaiting <= 0 {
			continue
		}
		if c := a.counter(); !found || c < minCounter {
			minCounter, found = c, true
		}
	}
	if found {
		s.virtualTime = max(s.virtualTime, minCounter)
	}
}

// decayingSum is a sum that decays exponentially with recentDecayTime. The zero value is empty.
type decayingSum struct {
	sum       float64
	updatedAt time.Time
}

func (r *decayingSum) valueAt(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.updatedAt).Seconds()/recentDecayTime.Seconds())
}

func (r *decayingSum) add(value float64, now time.Time) {
	r.sum = r.valueAt(now) + value
	r.updatedAt = now
}

// minRecentService is the decayed service below which a member counts as idle: that of less than one token.
const minRecentService = 1

// isActive reports whether the member waits or recently received service, here or at another instance.
func (a *account) isActive(now time.Time) bool {
	return a.waiting+a.remoteWaiting > 0 || a.localRecentService.valueAt(now)+a.remoteRecentService.valueAt(now) >= minRecentService
}

// recentService returns the member's recent service over all instances.
func (a *account) recentService(now time.Time) float64 {
	return a.localRecentService.valueAt(now) + a.remoteRecentService.valueAt(now)
}

// localActivityFraction returns the fraction of the member's activity that is at this instance. A member that begins
// to wait here has no recent service here yet, so the fraction of its waiting calls applies if it is higher.
func (a *account) localActivityFraction(now time.Time) float64 {
	fraction := 0.0
	if waiting := a.waiting + a.remoteWaiting; waiting > 0 {
		fraction = float64(a.waiting) / float64(waiting)
	}
	local, remote := a.localRecentService.valueAt(now), a.remoteRecentService.valueAt(now)
	if local > 0 {
		fraction = max(fraction, local/(local+remote))
	}
	return fraction
}
