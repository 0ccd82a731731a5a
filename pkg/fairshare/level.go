package fairshare

import (
	"math"
	"time"
)

// level is a set of accounts that compete with one another: the members, or the models of one member.
type level struct {
	accounts map[string]*account
	// reached is the highest minimum that the counters of waiting accounts had. It is what an account is lifted to when no
	// other account waits.
	reached float64
}

func newLevel() *level {
	return &level{accounts: make(map[string]*account)}
}

// account is the usage of one member or of one of its models.
type account struct {
	share float64
	// delivered is the service through this instance and remote that through others.
	delivered float64
	remote    float64
	// expected is the charge for the rest of running calls.
	expected float64
	// lift raises the counter; it is in units of the counter.
	lift          float64
	waiting       int
	remoteWaiting int
	localRecent   recent
	remoteRecent  recent
	models        *level // of a member; nil for a model
}

func (l *level) account(name string, share float64) *account {
	found := l.accounts[name]
	if found == nil {
		found = &account{share: share}
		l.accounts[name] = found
	}
	return found
}

func (a *account) counter() float64 {
	return a.lift + (a.delivered+a.remote+a.expected)/a.share
}

func (a *account) setShare(share float64) {
	before := a.counter()
	a.share = share
	a.lift += before - a.counter()
}

// wait changes the number of waiting calls of an account and lifts its counter when it begins to wait.
func (l *level) wait(a *account, delta int) {
	l.advance()
	if a.waiting == 0 && delta > 0 {
		l.raise(a)
	}
	a.waiting += delta
}

// waitRemotely changes the number of calls that wait at other instances. The account is lifted when it begins to wait
// there: it competes from then on, and its old counter would hold down the minimum for all others.
func (l *level) waitRemotely(a *account, delta int) {
	l.advance()
	if a.waiting+a.remoteWaiting == 0 && delta > 0 {
		l.raise(a)
	}
	a.remoteWaiting += delta
}

func (l *level) raise(a *account) {
	if behind := l.reached - a.counter(); behind > 0 {
		a.lift += behind
	}
}

// advance raises reached to the minimum of the accounts that wait here or at another instance.
func (l *level) advance() {
	lowest, found := 0.0, false
	for _, a := range l.accounts {
		if a.waiting+a.remoteWaiting <= 0 {
			continue
		}
		if c := a.counter(); !found || c < lowest {
			lowest, found = c, true
		}
	}
	if found {
		l.reached = max(l.reached, lowest)
	}
}

// recent is a sum that decays with recentTime. The zero value is empty.
type recent struct {
	sum     float64
	updated time.Time
}

func (r *recent) at(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.updated).Seconds()/recentTime.Seconds())
}

func (r *recent) add(value float64, now time.Time) {
	r.sum = r.at(now) + value
	r.updated = now
}

// leastRecent is the decayed service below which a member counts as idle: less than one token.
const leastRecent = 1

// active tells whether the member waits or recently received service, here or at another instance.
func (a *account) active(now time.Time) bool {
	return a.waiting+a.remoteWaiting > 0 || a.localRecent.at(now)+a.remoteRecent.at(now) >= leastRecent
}

// recent is the member's recent service over all instances.
func (a *account) recent(now time.Time) float64 {
	return a.localRecent.at(now) + a.remoteRecent.at(now)
}

// localFraction is the part of the member's activity that is here. A member that begins to wait here has no recent service
// yet, so that the fraction of waiting calls counts when it is higher.
func (a *account) localFraction(now time.Time) float64 {
	fraction := 0.0
	if waiting := a.waiting + a.remoteWaiting; waiting > 0 {
		fraction = float64(a.waiting) / float64(waiting)
	}
	local, remote := a.localRecent.at(now), a.remoteRecent.at(now)
	if local > 0 {
		fraction = max(fraction, local/(local+remote))
	}
	return fraction
}
