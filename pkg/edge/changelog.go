package edge

import (
	"slices"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// recentChanges maps the names of recently changed and removed entries to the times at which this instance learned of
// the changes.
type recentChanges struct {
	changed map[string]time.Time
	removed map[string]time.Time
}

func newRecentChanges() recentChanges {
	return recentChanges{changed: make(map[string]time.Time), removed: make(map[string]time.Time)}
}

func (c *recentChanges) recordChange(name string, now time.Time) {
	c.changed[name] = now
	delete(c.removed, name)
}

func (c *recentChanges) recordRemoval(name string, now time.Time) {
	c.removed[name] = now
	delete(c.changed, name)
}

// since returns the names of entries that were changed or removed since a time, and drops older ones.
func (c *recentChanges) since(t time.Time) (changed, removed []string) {
	return namesSince(c.changed, t), namesSince(c.removed, t)
}

// storeChangeLog records the recent changes in the store, the revisions up to which the view was complete, and the time
// of each, so that a relay can send them. The server's viewMu guards it.
type storeChangeLog struct {
	endpoints recentChanges
	instances recentChanges
	// revisions lists the revisions up to which the view was complete, in order of time.
	revisions []revisionTime
	// gaps lists the ranges of revisions that the view skipped.
	gaps []exchange.RevisionGap
}

// revisionTime is a revision and the time since when it is known.
type revisionTime struct {
	revision   int64
	knownSince time.Time
}

func newStoreChangeLog() *storeChangeLog {
	return &storeChangeLog{endpoints: newRecentChanges(), instances: newRecentChanges()}
}

// recordRevision records that the view has all changes up to a revision.
func (l *storeChangeLog) recordRevision(revision int64, now time.Time) {
	if last := len(l.revisions) - 1; last >= 0 && (l.revisions[last].revision > revision || isNewEra(l.revisions[last].revision, revision)) {
		// The store was reset or restored from an older copy. A message about its changes is not complete for a view from
		// before that.
		l.revisions, l.gaps = nil, nil
	}
	l.revisions = append(l.revisions, revisionTime{revision, now})
}

// isNewEra reports whether a revision is of a later era of the store than a known one; zero stands for none.
func isNewEra(known, revision int64) bool {
	return known != 0 && kvstore.Revision(revision).Era() > kvstore.Revision(known).Era()
}

// recordGap records that the view skipped the revisions between two, because all entries were read at once or came from
// another instance. It extends the last gap if no complete view lies between them.
func (l *storeChangeLog) recordGap(after, before int64) {
	if after >= before-1 {
		return
	}
	if last := len(l.gaps) - 1; last >= 0 && after < l.gaps[last].Before {
		l.gaps[last].Before = max(l.gaps[last].Before, before)
		return
	}
	l.gaps = append(l.gaps, exchange.RevisionGap{After: after, Before: before})
}

// gapsSince returns the gaps that concern a view at some revision from after on, and drops the others.
func (l *storeChangeLog) gapsSince(after int64) []exchange.RevisionGap {
	l.gaps = slices.DeleteFunc(l.gaps, func(g exchange.RevisionGap) bool { return g.Before <= after })
	return slices.Clone(l.gaps)
}

// dropBefore drops changes that are not needed to report all changes since a time.
func (l *storeChangeLog) dropBefore(t time.Time) {
	after, from := l.since(t)
	l.endpoints.since(from)
	l.instances.since(from)
	l.gapsSince(after)
}

// since returns the newest revision up to which the view was complete before t, or else the oldest recorded one, and
// the time from which on all later changes are recorded. It drops older revisions.
func (l *storeChangeLog) since(t time.Time) (after int64, from time.Time) {
	for len(l.revisions) > 1 && l.revisions[1].knownSince.Before(t) {
		l.revisions = l.revisions[1:]
	}
	if len(l.revisions) == 0 {
		return 0, t
	}
	return l.revisions[0].revision, l.revisions[0].knownSince
}

func namesSince(times map[string]time.Time, since time.Time) []string {
	var names []string
	for name, changedAt := range times {
		if changedAt.Before(since) {
			delete(times, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
