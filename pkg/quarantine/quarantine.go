// Package quarantine finds parts of prompts that crash endpoints, so that requests with them are not sent to further
// endpoints. The parts of the requests that an endpoint was beginning to answer when it ended are suspects, except for the
// last part of each, which no other request has. A part under which several endpoints crashed, with different requests, is
// put in quarantine. An answer that ends well clears the parts of its request. Instances exchange what they know, so that
// crashes seen by different instances count together.
package quarantine

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

const (
	// minCrashes and minRequests are the numbers of endpoints and of different requests under which a part is put in
	// quarantine. An endpoint that ends for another reason takes many requests with it, but seldom several with a part
	// that no answer clears.
	minCrashes  = 3
	minRequests = 2
	// minCrashesToSuspect is the number of crashes from which a request with the part is not repeated.
	minCrashesToSuspect = 2
	// evidenceMaxAge is the age at which a crash no longer counts.
	evidenceMaxAge = time.Minute
	// clearedFor is how long a part is no suspect after an answer that ended well. It covers the time between two
	// requests with a part that is rarely used.
	clearedFor = 30 * time.Second
	// Duration is how long a part stays in quarantine. After that it is forgotten, and endpoints may crash again.
	Duration = 10 * time.Minute
	// minAdoptedTime is the time that must be left in a quarantine for another instance to adopt it. It exceeds the time
	// that a report takes to arrive, so that instances do not pass an ended quarantine on among each other.
	minAdoptedTime = 10 * time.Second
	// maxSuspects and maxCleared bound the memory.
	maxSuspects = 256
	maxCleared  = 4096
	// maxCrashesPerPart is the number of crashes recorded for a part. Requests that were sent before the verdict crash some
	// endpoints more, which must be known as the work of this part.
	maxCrashesPerPart = 16
	// maxPartsPerRequest bounds the work for one request. All parts beyond count as the one part overflowPart.
	maxPartsPerRequest = 64
	overflowPart       = math.MaxUint64
	maxSharedParts     = maxPartsPerRequest + 1
)

// Endpoint identifies one run of an endpoint. It can crash only once.
type Endpoint struct {
	ID       string
	Lifetime int64
}

// crash is the end of an endpoint while it was beginning to answer a request.
type crash struct {
	endpoint Endpoint
	// request is the last part of the request's prompt. It tells requests apart; a client's repeats have the same.
	request uint64
	// parts are the other parts of the prompt that no answer had cleared.
	parts []uint64
	at    time.Time
}

// suspect is a part that no answer has cleared since endpoints crashed under it.
type suspect struct {
	crashes []crash
	// companions are the other parts that all the requests had in common, as far as no answer has cleared them. Any of
	// these parts may be the cause.
	companions []uint64
	// until is the end of the quarantine; zero means that the part is not in quarantine.
	until time.Time
}

// Tracker holds the suspects and the parts in quarantine. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	suspects map[uint64]*suspect
	// ownCrashes are the recent crashes that this instance saw.
	ownCrashes []crash
	// cleared maps parts to the time of the last answer that ended well.
	cleared *lru.Cache[uint64, time.Time]
	// contested maps cleared parts to the time at which another instance last reported them as suspects.
	contested map[uint64]time.Time
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker {
	cleared, err := lru.New[uint64, time.Time](maxCleared)
	if err != nil {
		// The only error is a size below one.
		panic(err)
	}
	return &Tracker{suspects: make(map[uint64]*suspect), cleared: cleared, contested: make(map[uint64]time.Time)}
}

// sharedParts returns the parts of a prompt that other requests may have.
func sharedParts(prompt []fleet.PromptPart) []uint64 {
	var parts []uint64
	for i := range min(len(prompt)-1, maxPartsPerRequest) {
		parts = append(parts, prompt[i].ID)
	}
	if len(prompt)-1 > maxPartsPerRequest {
		parts = append(parts, overflowPart)
	}
	return parts
}

// MayBeGuilty reports whether the prompt has a part that no answer has cleared recently.
func (t *Tracker) MayBeGuilty(prompt []fleet.PromptPart, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.unclearedParts(sharedParts(prompt), now)) > 0
}

// unclearedParts returns those of the parts that no answer has cleared recently. The caller holds the lock.
func (t *Tracker) unclearedParts(parts []uint64, now time.Time) []uint64 {
	return slices.DeleteFunc(parts, func(part uint64) bool { return t.isCleared(part, now) })
}

func (t *Tracker) isCleared(part uint64, now time.Time) bool {
	at, found := t.cleared.Peek(part)
	return found && now.Sub(at) < clearedFor
}

// RecordCrash records that an endpoint crashed while it was beginning to answer a request with this prompt. It returns
// the parts that are put in quarantine because of that.
func (t *Tracker) RecordCrash(prompt []fleet.PromptPart, endpoint Endpoint, now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := t.unclearedParts(sharedParts(prompt), now)
	if len(parts) == 0 {
		return nil
	}
	c := crash{endpoint: endpoint, request: prompt[len(prompt)-1].ID, parts: parts, at: now}
	t.dropOldCrashes(now)
	t.ownCrashes = append(t.ownCrashes, c)
	t.ownCrashes = t.ownCrashes[max(len(t.ownCrashes)-maxReported, 0):]
	return t.addCrash(c, now)
}

// addCrash adds a crash to all its parts and returns those that are put in quarantine because of that. The caller holds
// the lock.
func (t *Tracker) addCrash(c crash, now time.Time) []uint64 {
	var quarantined []uint64
	for _, part := range c.parts {
		if t.add(part, c, now) {
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}

// add records a crash under one of its parts and returns true if that puts the part in quarantine. The caller holds the
// lock.
func (t *Tracker) add(part uint64, c crash, now time.Time) bool {
	if t.isCleared(part, now) || now.Sub(c.at) >= evidenceMaxAge {
		return false
	}
	s := t.suspects[part]
	if s == nil {
		s = t.newSuspect(part)
		s.companions = slices.Clone(c.parts)
	}
	s.companions = slices.DeleteFunc(s.companions, func(other uint64) bool {
		return other == part || !slices.Contains(c.parts, other) || t.isCleared(other, now)
	})
	s.crashes = slices.DeleteFunc(s.crashes, func(known crash) bool { return now.Sub(known.at) >= evidenceMaxAge })
	if s.has(c) || len(s.crashes) >= maxCrashesPerPart {
		return false
	}
	s.crashes = append(s.crashes, c)
	if !s.until.IsZero() || !s.guilty(func(e Endpoint) bool { return t.explained(e, s, now) }) {
		return false
	}
	s.until = now.Add(Duration)
	return true
}

func (s *suspect) has(c crash) bool {
	return slices.ContainsFunc(s.crashes, func(known crash) bool { return known.endpoint == c.endpoint && known.request == c.request })
}

// guilty reports whether the crashes suffice for a quarantine. Crashes that another part explains do not count.
func (s *suspect) guilty(explained func(Endpoint) bool) bool {
	requests := make(map[uint64]bool)
	endpoints := make(map[Endpoint]bool)
	for i := range s.crashes {
		if c := &s.crashes[i]; !explained(c.endpoint) {
			requests[c.request] = true
			endpoints[c.endpoint] = true
		}
	}
	return len(endpoints) >= minCrashes && len(requests) >= minRequests
}

// explained reports whether the crash of an endpoint is the work of another part than the suspect's: one in quarantine
// under which that endpoint crashed, and more endpoints than under the suspect. An endpoint that crashes takes all requests
// with it that it was beginning to answer, so that their parts are suspects, too. The caller holds the lock.
func (t *Tracker) explained(endpoint Endpoint, s *suspect, now time.Time) bool {
	for _, other := range t.suspects {
		if other == s || !now.Before(other.until) || other.crashedEndpoints() <= s.crashedEndpoints() {
			continue
		}
		if slices.ContainsFunc(other.crashes, func(c crash) bool { return c.endpoint == endpoint }) {
			return true
		}
	}
	return false
}

func (s *suspect) crashedEndpoints() int {
	endpoints := make(map[Endpoint]bool)
	for i := range s.crashes {
		endpoints[s.crashes[i].endpoint] = true
	}
	return len(endpoints)
}

// concerns reports whether a request has all the parts that may be the cause together.
func (s *suspect) concerns(parts []uint64) bool {
	return !slices.ContainsFunc(s.companions, func(other uint64) bool { return !slices.Contains(parts, other) })
}

// newSuspect adds a suspect without crashes. If there are maxSuspects, it drops the one that matters least: outside the
// quarantine the one with the fewest crashes, else the one whose quarantine ends first. The caller holds the lock.
func (t *Tracker) newSuspect(part uint64) *suspect {
	if len(t.suspects) >= maxSuspects {
		least := slices.MinFunc(slices.Collect(maps.Keys(t.suspects)), func(a, b uint64) int {
			return compareWeight(t.suspects[a], t.suspects[b])
		})
		delete(t.suspects, least)
	}
	s := &suspect{}
	t.suspects[part] = s
	return s
}

// compareWeight orders suspects by quarantine, which is zero outside, and then by crashes.
func compareWeight(a, b *suspect) int {
	if order := a.until.Compare(b.until); order != 0 {
		return order
	}
	return len(a.crashes) - len(b.crashes)
}

// RecordSuccess records an answer that ended well, which clears all parts of its prompt. It returns the parts whose
// quarantine that ends.
func (t *Tracker) RecordSuccess(prompt []fleet.PromptPart, now time.Time) (released []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range sharedParts(prompt) {
		if t.clear(part, now) {
			released = append(released, part)
		}
	}
	return released
}

// clear records that an answer with a part ended well, and returns true if that ends a quarantine. The caller holds the
// lock.
func (t *Tracker) clear(part uint64, at time.Time) bool {
	if known, found := t.cleared.Peek(part); !found || at.After(known) {
		t.cleared.Add(part, at)
	}
	for _, s := range t.suspects {
		s.companions = slices.DeleteFunc(s.companions, func(other uint64) bool { return other == part })
	}
	s := t.suspects[part]
	delete(t.suspects, part)
	return s != nil && !s.until.IsZero()
}

// Quarantined returns a part of the prompt because of which the request must not be sent, and until when. It returns
// false if there is none.
func (t *Tracker) Quarantined(prompt []fleet.PromptPart, now time.Time) (part uint64, until time.Time, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return 0, time.Time{}, false
	}
	parts := sharedParts(prompt)
	for _, part := range parts {
		if s := t.suspects[part]; s != nil && now.Before(s.until) && s.concerns(parts) {
			return part, s.until, true
		}
	}
	return 0, time.Time{}, false
}

// Suspected reports whether several endpoints crashed under a part of the prompt. Such a request is not repeated.
func (t *Tracker) Suspected(prompt []fleet.PromptPart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return false
	}
	parts := sharedParts(prompt)
	return slices.ContainsFunc(parts, func(part uint64) bool {
		s := t.suspects[part]
		return s != nil && s.crashedEndpoints() >= minCrashesToSuspect && s.concerns(parts)
	})
}
