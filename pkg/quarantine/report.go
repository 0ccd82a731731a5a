package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportedFor is how long an instance reports a crash that it saw: in several regular messages, because datagrams
	// get lost.
	reportedFor = 5 * time.Second
	// contestedFor is how long a cleared part is reported after another instance has last reported it as a suspect.
	contestedFor = 3 * time.Second
	// maxReported bounds each list of a report, and maxReportedParts the parts and companions in all entries of a list, so
	// that reports fit into datagrams together with other state. What is left out is known to the sender only.
	maxReported      = 16
	maxReportedParts = 160
)

// Report is what an instance tells others. It has ages instead of times, because clocks differ.
type Report struct {
	Crashes     []CrashReport      `json:"s,omitempty"`
	Quarantined []QuarantineReport `json:"q,omitempty"`
	// Cleared lists parts that other instances suspect although answers have cleared them.
	Cleared []ClearedReport `json:"c,omitempty"`
}

// CrashReport is a crash that the sender saw: the endpoint, the last part of the request and its other parts.
type CrashReport struct {
	Endpoint string   `json:"e"`
	Lifetime int64    `json:"t"`
	Request  uint64   `json:"r"`
	Parts    []uint64 `json:"p"`
	AgeMs    int64    `json:"a"`
}

// QuarantineReport is a part in quarantine, its companions and the time left.
type QuarantineReport struct {
	Part        uint64   `json:"p"`
	Companions  []uint64 `json:"w,omitempty"`
	RemainingMs int64    `json:"r"`
}

// ClearedReport is a part and the time since the last answer with it that ended well.
type ClearedReport struct {
	Part  uint64 `json:"p"`
	AgeMs int64  `json:"a"`
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool {
	return len(r.Crashes) == 0 && len(r.Quarantined) == 0 && len(r.Cleared) == 0
}

// Report returns what this instance tells others. It drops what is out of date.
func (t *Tracker) Report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOldCrashes(now)
	t.dropOldSuspects(now)
	return Report{Crashes: t.crashReports(now), Quarantined: t.quarantineReports(now), Cleared: t.clearedReports(now)}
}

func (t *Tracker) dropOldCrashes(now time.Time) {
	t.ownCrashes = slices.DeleteFunc(t.ownCrashes, func(c crash) bool { return now.Sub(c.at) >= reportedFor })
}

// dropOldSuspects drops suspects whose crashes no longer count, and those whose quarantine has ended. The caller holds the
// lock.
func (t *Tracker) dropOldSuspects(now time.Time) {
	maps.DeleteFunc(t.suspects, func(_ uint64, s *suspect) bool {
		if !s.until.IsZero() {
			return !now.Before(s.until)
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) >= evidenceMaxAge })
		return len(s.crashes) == 0
	})
}

// crashReports returns the crashes that this instance saw, the newest ones if there are too many. The caller holds the
// lock.
func (t *Tracker) crashReports(now time.Time) []CrashReport {
	var reports []CrashReport
	parts := 0
	for _, c := range slices.Backward(t.ownCrashes) {
		if parts += len(c.parts); parts > maxReportedParts {
			break
		}
		reports = append(reports, CrashReport{
			Endpoint: c.endpoint.ID, Lifetime: c.endpoint.Lifetime, Request: c.request, Parts: c.parts, AgeMs: now.Sub(c.at).Milliseconds(),
		})
	}
	return reports
}

// quarantineReports returns the parts in quarantine. The caller holds the lock.
func (t *Tracker) quarantineReports(now time.Time) []QuarantineReport {
	var reports []QuarantineReport
	parts := 0
	for _, part := range slices.Sorted(maps.Keys(t.suspects)) {
		s := t.suspects[part]
		fits := len(reports) < maxReported && parts+1+len(s.companions) <= maxReportedParts
		if !s.until.IsZero() && fits {
			parts += 1 + len(s.companions)
			reports = append(reports, QuarantineReport{
				Part: part, Companions: slices.Clone(s.companions), RemainingMs: s.until.Sub(now).Milliseconds(),
			})
		}
	}
	return reports
}

// clearedReports returns the parts that are contested. The caller holds the lock.
func (t *Tracker) clearedReports(now time.Time) []ClearedReport {
	maps.DeleteFunc(t.contested, func(_ uint64, at time.Time) bool { return now.Sub(at) >= contestedFor })
	var reports []ClearedReport
	for part := range t.contested {
		if at, found := t.cleared.Peek(part); found {
			reports = append(reports, ClearedReport{Part: part, AgeMs: now.Sub(at).Milliseconds()})
		}
	}
	return reports
}

// Merge adds what another instance reports. It returns the parts that are put in quarantine because of that, and those
// whose quarantine ends.
func (t *Tracker) Merge(report *Report, now time.Time) (quarantined, released []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range report.Cleared {
		if t.clear(c.Part, now.Add(-milliseconds(c.AgeMs))) {
			released = append(released, c.Part)
		}
	}
	for _, r := range report.Crashes {
		parts := r.Parts[:min(len(r.Parts), maxSharedParts)]
		t.contest(parts, now)
		c := crash{endpoint: Endpoint{r.Endpoint, r.Lifetime}, request: r.Request, parts: parts, at: now.Add(-milliseconds(r.AgeMs))}
		quarantined = append(quarantined, t.addCrash(c, now)...)
	}
	for i := range report.Quarantined {
		q := &report.Quarantined[i]
		t.contest([]uint64{q.Part}, now)
		if t.adopt(q, now) {
			quarantined = append(quarantined, q.Part)
		}
	}
	return quarantined, released
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// adopt puts a part in quarantine that another instance has there. It returns false if the part already is, if an answer
// has cleared it, or if little time is left. The caller holds the lock.
func (t *Tracker) adopt(q *QuarantineReport, now time.Time) bool {
	if t.isCleared(q.Part, now) || milliseconds(q.RemainingMs) < minAdoptedTime {
		return false
	}
	s := t.suspects[q.Part]
	if s == nil {
		s = t.newSuspect(q.Part)
		s.companions = t.unclearedParts(slices.Clone(q.Companions), now)
	}
	if !s.until.IsZero() {
		return false
	}
	s.until = now.Add(min(milliseconds(q.RemainingMs), Duration))
	return true
}

// contest has the next reports state that answers have cleared parts which another instance suspects. The caller holds
// the lock.
func (t *Tracker) contest(parts []uint64, now time.Time) {
	for _, part := range parts {
		if _, contested := t.contested[part]; !contested && len(t.contested) >= maxReported {
			continue
		}
		if t.isCleared(part, now) {
			t.contested[part] = now
		}
	}
}
