package configstore

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

const (
	// maxApplyAttempts bounds the attempts to apply a change. With the default backoff all attempts together take about
	// 1.5 s.
	maxApplyAttempts = 16
	// maxCommitBytes bounds the total size of the values in one call. Stores limit the request size, and the encoding adds
	// a third.
	maxCommitBytes = 700 << 10
	// maxCommitWrites bounds the number of writes in one call.
	maxCommitWrites = 32
)

var (
	// ErrChangeIDReused means that a different change was applied under the same id. Nothing took effect.
	ErrChangeIDReused = errors.New("the change id belongs to another change")
	// ErrContention means that concurrent changes replaced the head in every attempt. Nothing took effect.
	ErrContention = errors.New("too many other changes at the same time")
	// ErrBaseRevision means that the base revision of a change is above the store's. Nothing took effect.
	ErrBaseRevision = errors.New("the base revision is above the revision in the store")
	// ErrChangeID means that the id of a change is empty or too long. Nothing took effect.
	ErrChangeID = errors.New("a change id has 1 to 64 characters")
)

// maxChangeIDLength, in bytes, keeps the list of change ids in the head short.
const maxChangeIDLength = 64

// Conflict means that other changes replaced records of this change since its base revision or while it was applied.
// Nothing took effect.
type Conflict struct {
	Records []config.RecordID
	// ChangeIDs are the ids of all changes in that time that the head still lists, including those that caused no
	// conflict.
	ChangeIDs []string
}

// Error implements error.
func (c *Conflict) Error() string {
	names := make([]string, len(c.Records))
	for i, id := range c.Records {
		names[i] = id.String()
	}
	return fmt.Sprintf("change %s replaced the same records: %s", strings.Join(c.ChangeIDs, ", "), strings.Join(names, ", "))
}

// Result is an applied change.
type Result struct {
	ChangeID string `json:"changeId"`
	// Revision is the configuration revision that the change created, or the current one when it had no effect.
	Revision int64 `json:"revision"`
	Difference
	// ConcurrentChangeIDs lists the ids of other changes that took effect while this one was applied.
	ConcurrentChangeIDs []string `json:"rebasedOver,omitempty"`
	// AlreadyApplied reports whether an earlier Apply of the change took effect. The difference is then empty.
	AlreadyApplied bool `json:"alreadyApplied,omitempty"`
}

// Apply validates the change against the stored records and applies it atomically. With the errors *findings.Error,
// *Conflict, ErrChangeIDReused, ErrChangeID, ErrContention, ErrFormat and kvstore.ErrUnavailable nothing took effect.
// With kvstore.ErrOutcomeUnknown the change may have taken effect; a repeated Apply of the same change resolves that.
func (r *Repository) Apply(ctx context.Context, change Change) (Result, error) {
	if change.ID == "" || len(change.ID) > maxChangeIDLength {
		return Result{}, ErrChangeID
	}
	hash, err := change.hash()
	if err != nil {
		return Result{}, err
	}
	a := &applier{repository: r, change: change, hash: hash}
	for attempt := range maxApplyAttempts {
		if attempt > 0 && timing.Sleep(ctx, r.options.Backoff(attempt)) != nil {
			break
		}
		done, err := a.attempt(ctx)
		if err != nil {
			return Result{}, a.wrapError(err)
		}
		if done {
			r.collectPeriodically(ctx, a.result)
			return a.result, nil
		}
	}
	if ctx.Err() != nil {
		return Result{}, a.wrapError(errors.Wrapf(kvstore.ErrUnavailable, "%v", ctx.Err()))
	}
	return Result{}, a.wrapError(ErrContention)
}

// Comparison is the effect that a change would have.
type Comparison struct {
	// Revision is the configuration revision that the change was compared with; zero before the first change.
	Revision int64 `json:"revision"`
	Difference
	// Fields lists the changed fields of updated records.
	Fields []FieldDifference `json:"fields"`
}

// Compare returns the effect that a change would have, without applying it. Errors: as Apply.
func (r *Repository) Compare(ctx context.Context, change Change) (Comparison, error) {
	current, err := r.readOrEmpty(ctx, nil)
	if err != nil {
		return Comparison{}, err
	}
	p, err := newPlan(r.options.WriterVersion, current.Records(), change)
	if err != nil {
		return Comparison{}, err
	}
	return Comparison{Revision: current.Head.Revision, Difference: p.difference, Fields: p.fields}, nil
}

// readOrEmpty reads the configuration. It returns an empty one before the first change.
func (r *Repository) readOrEmpty(ctx context.Context, previous *Contents) (*Contents, error) {
	contents, err := r.Read(ctx, previous)
	if errors.Is(err, ErrNoHead) {
		contents.Head = &Head{}
		return contents, nil
	}
	return contents, err
}

// applier is the state of one change over its attempts.
type applier struct {
	repository *Repository
	change     Change
	hash       string
	// base and latest are the configurations that the first and the latest attempt read.
	base   *Contents
	latest *Contents
	// outcomeUnknown is true after a head write whose reply was lost. The write may have taken effect, and may still do
	// so until the head changes.
	outcomeUnknown bool
	// result is the result if the latest head write takes effect.
	result Result
}

// wrapError adds the change id, and turns an error into ErrOutcomeUnknown while the outcome of a head write is unknown.
// A rejection settles the outcome: the rejecting attempt read another head than the one that the write was based on, so
// the write can no longer take effect.
func (a *applier) wrapError(err error) error {
	var conflict *Conflict
	var invalid *findings.Error
	rejected := errors.As(err, &conflict) || errors.As(err, &invalid) || errors.Is(err, ErrChangeIDReused)
	if a.outcomeUnknown && !rejected {
		err = errors.Wrapf(kvstore.ErrOutcomeUnknown, "%v", err)
	}
	return errors.Wrapf(err, "change %s", a.change.ID)
}

// attempt reads the head, prepares the next one and tries to replace it. It returns false when another attempt is
// needed.
func (a *applier) attempt(ctx context.Context) (bool, error) {
	current, err := a.repository.readOrEmpty(ctx, a.latest)
	if err != nil {
		return false, err
	}
	if a.base == nil {
		a.base = current
	}
	a.latest = current
	if done, err := a.findApplied(current.Head); done || err != nil {
		return done, err
	}
	p, err := newPlan(a.repository.options.WriterVersion, current.Records(), a.change)
	if err != nil {
		return false, err
	}
	if err := a.checkConflict(current, p); err != nil {
		return false, err
	}
	a.result = Result{
		ChangeID:            a.change.ID,
		Revision:            current.Head.Revision,
		Difference:          p.difference,
		ConcurrentChangeIDs: current.Head.changesAfter(a.base.Head.Revision),
	}
	if p.difference.Empty() {
		return true, nil
	}
	return a.writeChange(ctx, current, p)
}

// findApplied reports whether the head lists the change, which means that an earlier attempt took effect.
func (a *applier) findApplied(head *Head) (bool, error) {
	applied, found := head.findChange(a.change.ID)
	if !found {
		return false, nil
	}
	if applied.Hash != a.hash {
		return false, ErrChangeIDReused
	}
	if !a.outcomeUnknown {
		a.result = Result{ChangeID: a.change.ID, AlreadyApplied: true}
	}
	a.result.Revision = applied.Revision
	return true, nil
}

// checkConflict returns a *Conflict when other changes replaced records of this change after the first attempt read the
// configuration, or after the change's base revision if it has one.
func (a *applier) checkConflict(current *Contents, p *plan) error {
	if a.change.BaseRevision > current.Head.Revision {
		return ErrBaseRevision
	}
	since := a.base.Head.Revision
	ids, err := conflictsBetween(a.base, current, p, a.change.Prune)
	if err == nil && len(ids) == 0 && a.change.BaseRevision > 0 {
		since = a.change.BaseRevision
		ids, err = conflictsSince(since, current.Records(), p, a.change.Prune)
	}
	if err != nil || len(ids) == 0 {
		return err
	}
	return errors.WithStack(&Conflict{Records: ids, ChangeIDs: current.Head.changesAfter(since)})
}

// writeChange writes the bundles of the planned configuration and replaces the head.
func (a *applier) writeChange(ctx context.Context, current *Contents, p *plan) (bool, error) {
	revision := max(current.Head.Revision, int64(current.storeRevision)) + 1
	refs, contents, buckets := groupIntoBundles(withRevision(p.records, revision), current.Head.Buckets)
	head, deletes := current.Head.successor(refs, buckets)
	head.Revision = revision
	head.CommittedAtMs = a.repository.options.Now().UnixMilli()
	head.addChange(current.Head.Changes, AppliedChange{ID: a.change.ID, Hash: a.hash, Revision: head.Revision})
	a.result.Revision = head.Revision
	written, err := a.repository.writeBundles(ctx, current.Head, refs, contents)
	if err != nil || !written {
		return false, err
	}
	return a.replaceHead(ctx, current, head, deletes)
}

// withRevision sets the revision of the records that the change creates or updates.
func withRevision(records []encodedRecord, revision int64) []encodedRecord {
	completed := slices.Clone(records)
	for i := range completed {
		if completed[i].revision == 0 {
			completed[i].revision = revision
		}
	}
	return completed
}

// replaceHead replaces the head if it is unchanged since it was read, and deletes bundles in the same transaction. A
// concurrent writer that relies on a deleted bundle therefore fails the comparison of the head and writes the bundle
// again.
func (a *applier) replaceHead(ctx context.Context, current *Contents, head *Head, deletes []string) (bool, error) {
	value, err := head.encode()
	if err != nil {
		return false, err
	}
	results, err := a.repository.store.Commit(ctx, []kvstore.ConditionalWrite{
		a.repository.headWrite(current.modRevision, value, deletes),
	})
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		a.outcomeUnknown = true
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "write configuration head")
	}
	return results[0].Applied, nil
}

// headWrite replaces the head and deletes bundles if the head has the expected store revision.
func (r *Repository) headWrite(expected kvstore.Revision, value []byte, deletes []string) kvstore.ConditionalWrite {
	w := kvstore.ConditionalWrite{
		Conditions: []kvstore.Condition{{Key: r.HeadKey(), Field: kvstore.ModRevision, Equals: expected}},
		Puts:       []kvstore.Put{{Key: r.HeadKey(), Value: value}},
	}
	for _, digest := range deletes {
		w.Deletes = append(w.Deletes, r.prefix+bundlePrefix+digest)
	}
	return w
}

// writeBundles writes the bundles that the current head does not list. It returns false when a reply was lost. The
// bundles may then be missing and must be written again, because a new head must not list missing bundles.
func (r *Repository) writeBundles(
	ctx context.Context, current *Head, refs []BundleRef, contents map[string][]byte,
) (bool, error) {
	for _, batch := range r.bundleBatches(current, refs, contents) {
		_, err := r.store.Commit(ctx, batch)
		if errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return false, nil
		}
		if err != nil {
			return false, errors.Wrap(err, "write bundles")
		}
	}
	return true, nil
}

// bundleBatches splits the writes of new bundles into calls of bounded size.
func (r *Repository) bundleBatches(
	current *Head, refs []BundleRef, contents map[string][]byte,
) [][]kvstore.ConditionalWrite {
	present := current.digests()
	var batches [][]kvstore.ConditionalWrite
	var batch []kvstore.ConditionalWrite
	size := 0
	for _, ref := range refs {
		if present[ref.Digest] {
			continue
		}
		content := contents[ref.Digest]
		if len(batch) == maxCommitWrites || (len(batch) > 0 && size+len(content) > maxCommitBytes) {
			batches = append(batches, batch)
			batch, size = nil, 0
		}
		batch = append(batch, r.bundleWrite(ref.Digest, content))
		size += len(content)
	}
	if len(batch) > 0 {
		batches = append(batches, batch)
	}
	return batches
}

// bundleWrite creates the bundle unless it exists. An existing one has the same content, since the key contains the
// digest.
func (r *Repository) bundleWrite(digest string, content []byte) kvstore.ConditionalWrite {
	key := r.prefix + bundlePrefix + digest
	return kvstore.ConditionalWrite{
		Conditions: []kvstore.Condition{{Key: key, Field: kvstore.ModRevision, Equals: 0}},
		Puts:       []kvstore.Put{{Key: key, Value: content}},
	}
}
