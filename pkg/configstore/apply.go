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
	// maxAttempts bounds the attempts of a change; with the default backoff that takes about one and a half seconds.
	maxAttempts = 16
	// maxCommitBytes bounds the values of one call, since the encoding adds a third and stores limit the request size.
	maxCommitBytes = 700 << 10
	// maxCommitWrites bounds the writes of one call.
	maxCommitWrites = 32
)

var (
	// ErrChangeIDReused means that another change was applied under the same id. Nothing took effect.
	ErrChangeIDReused = errors.New("the change id belongs to another change")
	// ErrContention means that other writers kept winning the race. Nothing took effect.
	ErrContention = errors.New("too many other changes at the same time")
	// ErrBaseRevision means that a change was made from a revision that the store does not have yet. Nothing took effect.
	ErrBaseRevision = errors.New("the base revision is above the revision in the store")
	// ErrChangeID means that a change has no usable id. Nothing took effect.
	ErrChangeID = errors.New("a change id has 1 to 64 characters")
)

// maxChangeIDLength keeps the list of change ids in the head short.
const maxChangeIDLength = 64

// Conflict means that other changes replaced records of this change while it was applied. Nothing took effect.
type Conflict struct {
	Records []config.RecordID
	// ChangeIDs are the other changes.
	ChangeIDs []string
}

// Error names the records and the other changes.
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
	// Revision is the configuration revision that the change made, or the present one when it had no effect.
	Revision int64 `json:"revision"`
	Difference
	// RebasedOver are other changes that took effect while this one was applied.
	RebasedOver []string `json:"rebasedOver,omitempty"`
	// AlreadyApplied is true when an earlier attempt with the same id took effect; then the difference is empty.
	AlreadyApplied bool `json:"alreadyApplied,omitempty"`
}

// Apply validates the change against the stored records and makes it take effect as a whole. Errors: *findings.Error,
// *Conflict, ErrChangeIDReused, ErrChangeID, ErrContention, ErrFormat and kvstore.ErrUnavailable, after which nothing
// took effect, and kvstore.ErrOutcomeUnknown, after which a repeated Apply with the same change finds out.
func (r *Repository) Apply(ctx context.Context, change Change) (Result, error) {
	if change.ID == "" || len(change.ID) > maxChangeIDLength {
		return Result{}, ErrChangeID
	}
	hash, err := change.hash()
	if err != nil {
		return Result{}, err
	}
	a := &applier{repository: r, change: change, hash: hash}
	for attempt := range maxAttempts {
		if attempt > 0 && timing.Sleep(ctx, r.options.Backoff(attempt)) != nil {
			break
		}
		done, err := a.attempt(ctx)
		if err != nil {
			return Result{}, a.explain(err)
		}
		if done {
			r.collectSometimes(ctx, a.result)
			return a.result, nil
		}
	}
	if ctx.Err() != nil {
		return Result{}, a.explain(errors.Wrapf(kvstore.ErrUnavailable, "%v", ctx.Err()))
	}
	return Result{}, a.explain(ErrContention)
}

// Comparison is what a change would do.
type Comparison struct {
	// Revision is the configuration revision that the change was compared with; zero when there is none.
	Revision int64 `json:"revision"`
	Difference
	// Fields are the differences in updated records.
	Fields []FieldDifference `json:"fields"`
}

// Compare returns what a change would do. Errors: as Apply.
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

// readOrEmpty reads the configuration; before the first change it is empty.
func (r *Repository) readOrEmpty(ctx context.Context, previous *Contents) (*Contents, error) {
	contents, err := r.Read(ctx, previous)
	if errors.Is(err, ErrNoHead) {
		contents.Head = &Head{}
		return contents, nil
	}
	return contents, err
}

// applier carries one change through its attempts.
type applier struct {
	repository *Repository
	change     Change
	hash       string
	// base is the configuration that the first attempt saw; later ones are compared with it.
	base *Contents
	last *Contents
	// unsure is true after a head write whose reply was lost. The write may have taken effect, and may still do so until
	// the head changes.
	unsure bool
	// result is what the latest head write makes true.
	result Result
}

// explain turns an error into ErrOutcomeUnknown when a head write without a reply was not resolved. A rejection resolves
// it: the rejecting attempt saw another head than the write was based on, so the write can no longer take effect.
func (a *applier) explain(err error) error {
	var conflict *Conflict
	var mistakes *findings.Error
	rejected := errors.As(err, &conflict) || errors.As(err, &mistakes) || errors.Is(err, ErrChangeIDReused)
	if a.unsure && !rejected {
		err = errors.Wrapf(kvstore.ErrOutcomeUnknown, "%v", err)
	}
	return errors.Wrapf(err, "change %s", a.change.ID)
}

// attempt reads the head, prepares the next one and tries to put it in place. It returns false when another attempt is
// needed.
func (a *applier) attempt(ctx context.Context) (bool, error) {
	current, err := a.repository.readOrEmpty(ctx, a.last)
	if err != nil {
		return false, err
	}
	if a.base == nil {
		a.base = current
	}
	a.last = current
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
		ChangeID:    a.change.ID,
		Revision:    current.Head.Revision,
		Difference:  p.difference,
		RebasedOver: current.Head.changesAfter(a.base.Head.Revision),
	}
	if p.difference.Empty() {
		return true, nil
	}
	return a.write(ctx, current, p)
}

// findApplied looks for the change in the head: an earlier attempt took effect when it is there.
func (a *applier) findApplied(head *Head) (bool, error) {
	applied, found := head.change(a.change.ID)
	if !found {
		return false, nil
	}
	if applied.Hash != a.hash {
		return false, ErrChangeIDReused
	}
	if !a.unsure {
		a.result = Result{ChangeID: a.change.ID, AlreadyApplied: true}
	}
	a.result.Revision = applied.Revision
	return true, nil
}

// checkConflict compares the present configuration with the one that the first attempt saw, and with the change's base
// revision if it has one.
func (a *applier) checkConflict(current *Contents, p *plan) error {
	if a.change.BaseRevision > current.Head.Revision {
		return ErrBaseRevision
	}
	since := a.base.Head.Revision
	ids, err := overlap(a.base, current, p, a.change.Prune)
	if err == nil && len(ids) == 0 && a.change.BaseRevision > 0 {
		since = a.change.BaseRevision
		ids, err = changedSince(since, current.Records(), p, a.change.Prune)
	}
	if err != nil || len(ids) == 0 {
		return err
	}
	return errors.WithStack(&Conflict{Records: ids, ChangeIDs: current.Head.changesAfter(since)})
}

func (a *applier) write(ctx context.Context, current *Contents, p *plan) (bool, error) {
	revision := max(current.Head.Revision, int64(current.storeRevision)) + 1
	refs, contents, buckets := group(atRevision(p.records, revision), current.Head.Buckets)
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

// atRevision completes the records that a change makes.
func atRevision(records []encodedRecord, revision int64) []encodedRecord {
	completed := slices.Clone(records)
	for i := range completed {
		if completed[i].revision == 0 {
			completed[i].revision = revision
		}
	}
	return completed
}

// replaceHead puts the head in place if nobody else did since it was read, and deletes bundles in the same
// transaction. A writer that counts on a deleted bundle therefore fails its own comparison and writes the bundle again.
func (a *applier) replaceHead(ctx context.Context, current *Contents, head *Head, deletes []string) (bool, error) {
	value, err := head.encode()
	if err != nil {
		return false, err
	}
	results, err := a.repository.store.Commit(ctx, []kvstore.ConditionalWrite{
		a.repository.headWrite(current.modRevision, value, deletes),
	})
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		a.unsure = true
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "write configuration head")
	}
	return results[0].Applied, nil
}

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

// writeBundles writes the bundles that the current head does not name. It returns false when a reply was lost: the
// bundles must then be written again, since a write without effect would leave the new head without them.
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

// bundleBatches divides the writes of new bundles into calls of bounded size.
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

// bundleWrite creates the bundle; one that exists already has the same content.
func (r *Repository) bundleWrite(digest string, content []byte) kvstore.ConditionalWrite {
	key := r.prefix + bundlePrefix + digest
	return kvstore.ConditionalWrite{
		Conditions: []kvstore.Condition{{Key: key, Field: kvstore.ModRevision, Equals: 0}},
		Puts:       []kvstore.Put{{Key: key, Value: content}},
	}
}
