package ledger

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// maxAttempts bounds the compare-and-swap attempts of one operation. The lease holder is the only regular writer of a
// record, so that more than one repetition is rare.
const maxAttempts = 5

var (
	// ErrLeaseNotHeld means that the placement lease is not held; nothing was written.
	ErrLeaseNotHeld = errors.New("placement lease is not held")
	// ErrOrderPending means that an order for the artifact may still run, so that no other may be sent.
	ErrOrderPending = errors.New("an order for the artifact is unresolved")
	// ErrNotLoaded means that an unload names an artifact without a reservation.
	ErrNotLoaded = errors.New("artifact is not loaded")
	// ErrAlreadyReserved means that a load names an artifact that is loaded.
	ErrAlreadyReserved = errors.New("artifact is already loaded")
	// ErrLastCopy means that no other loaded copy of the model or adapter was found for an unload.
	ErrLastCopy = errors.New("last loaded copy")
	// ErrStaleSession means that another session was opened after the request's one, or that the record was not
	// reconciled with the session's incarnation yet.
	ErrStaleSession = errors.New("ledger belongs to another session with the engine")
	// ErrBaseNotLoaded means that an adapter's model is not loaded on the endpoint.
	ErrBaseNotLoaded = errors.New("the adapter's model is not loaded")
	// ErrSchemaTooNew means that a newer build wrote the record; this build must not change it.
	ErrSchemaTooNew = errors.New("ledger schema version is newer than this build supports")
	// ErrContended means that other writers won every attempt; nothing was written.
	ErrContended = errors.New("ledger record is contended")
)

// Guard is the placement lease of the endpoint's shard.
type Guard interface {
	// Condition is the condition that holds in the store while the lease is held, and false when the lease is not held
	// by the local deadline.
	Condition() (kvstore.Condition, bool)
}

// Store is the part of the key-value service that the ledger uses.
type Store interface {
	kvstore.Reader
	kvstore.Writer
}

// Ledger reads and changes the records of all endpoints. It is safe for concurrent use.
type Ledger struct {
	store  Store
	prefix string
}

// New returns the ledger under a key prefix such as "mulberryglade/".
func New(store Store, prefix string) *Ledger {
	return &Ledger{store: store, prefix: prefix + "ledger/"}
}

func (l *Ledger) key(endpoint Endpoint) string {
	return l.prefix + endpoint.DataCentre + "/" + endpoint.Name
}

// Read returns the record of an endpoint; an endpoint without one gets an empty record at revision zero. Errors:
// kvstore.ErrUnavailable, ErrSchemaTooNew.
func (l *Ledger) Read(ctx context.Context, endpoint Endpoint) (Record, error) {
	kv, found, _, err := l.store.Get(ctx, l.key(endpoint))
	if err != nil {
		return Record{}, err
	}
	if !found {
		return Record{SchemaVersion: SchemaVersion, Endpoint: endpoint}, nil
	}
	return decode(endpoint, kv)
}

// List returns the records of a data centre in name order. Records that this build cannot read are returned as errors
// by endpoint name; they do not hide the others. Errors: kvstore.ErrUnavailable.
func (l *Ledger) List(ctx context.Context, dataCentre string) ([]Record, map[string]error, error) {
	prefix := l.prefix + dataCentre + "/"
	kvs, _, err := l.store.Range(ctx, prefix)
	if err != nil {
		return nil, nil, err
	}
	records := make([]Record, 0, len(kvs))
	unreadable := make(map[string]error)
	for _, kv := range kvs {
		endpoint := Endpoint{DataCentre: dataCentre, Name: strings.TrimPrefix(kv.Key, prefix)}
		record, err := decode(endpoint, kv)
		if err != nil {
			unreadable[endpoint.Name] = err
			continue
		}
		records = append(records, record)
	}
	return records, unreadable, nil
}

// change edits a record in memory. It must be idempotent: it runs again on a record that may already hold its effect
// when a reply was lost. It returns false when the record needs no write.
type change func(record *Record) (bool, error)

// noConditions is for updates that depend on no other record.
func noConditions() ([]kvstore.Condition, error) { return nil, nil }

// update applies a change by compare-and-swap on the record together with the lease's condition and the extra
// conditions, which are read anew for each attempt.
func (l *Ledger) update(ctx context.Context, guard Guard, endpoint Endpoint, extra func() ([]kvstore.Condition, error), apply change) (Record, error) {
	record, err := l.Read(ctx, endpoint)
	if err != nil {
		return Record{}, err
	}
	unknown := false
	for range maxAttempts {
		changed, err := apply(&record)
		if err != nil || !changed {
			return record, markUnknown(err, unknown)
		}
		conditions, err := extra()
		if err != nil {
			return record, markUnknown(err, unknown)
		}
		written, err := l.commit(ctx, guard, record, conditions)
		if err == nil {
			return written, nil
		}
		unknown = unknown || errors.Is(err, kvstore.ErrOutcomeUnknown)
		if !errors.Is(err, ErrContended) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return Record{}, markUnknown(err, unknown)
		}
		record, err = l.Read(ctx, endpoint)
		if err != nil {
			return Record{}, markUnknown(err, unknown)
		}
	}
	return Record{}, markUnknown(ErrContended, unknown)
}

// markUnknown keeps the outcome unknown when an earlier attempt of the operation lost its reply.
func markUnknown(err error, unknown bool) error {
	if err == nil || !unknown || errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return err
	}
	return errors.Mark(err, kvstore.ErrOutcomeUnknown)
}

// commit writes the record once. ErrContended means that another write came first and nothing was written.
func (l *Ledger) commit(ctx context.Context, guard Guard, record Record, extra []kvstore.Condition) (Record, error) {
	lease, held := guard.Condition()
	if !held {
		return Record{}, ErrLeaseNotHeld
	}
	record.SchemaVersion = SchemaVersion
	value, err := json.Marshal(&record)
	if err != nil {
		return Record{}, errors.Wrap(err, "encode ledger record")
	}
	key := l.key(record.Endpoint)
	conditions := []kvstore.Condition{{Key: key, Field: kvstore.ModRevision, Equals: record.Revision}, lease}
	results, err := l.store.Commit(ctx, []kvstore.ConditionalWrite{{
		Conditions:    append(conditions, extra...),
		Puts:          []kvstore.Put{{Key: key, Value: value}},
		ReadOnFailure: []string{lease.Key},
	}})
	if err != nil {
		definite := errors.Is(err, kvstore.ErrUnavailable) || errors.Is(err, kvstore.ErrValueTooLarge)
		return Record{}, markUnknown(err, !definite)
	}
	if !results[0].Applied {
		return Record{}, refusal(lease, results[0].Current)
	}
	record.setRevision(results[0].Revision)
	return record, nil
}

// refusal tells a lost lease from a write that came first.
func refusal(lease kvstore.Condition, current []kvstore.KeyValue) error {
	actual := kvstore.Revision(0)
	for _, kv := range current {
		if kv.Key != lease.Key {
			continue
		}
		actual = kv.ModRevision
		if lease.Field == kvstore.CreateRevision {
			actual = kv.CreateRevision
		}
	}
	if actual != lease.Equals {
		return ErrLeaseNotHeld
	}
	return ErrContended
}

// Request describes the order that memory is reserved for.
type Request struct {
	OrderID  string
	Verb     engine.OrderVerb
	Artifact engine.Artifact
	// Base is the adapter's model. An adapter is placed on the accelerators of a loaded copy of its model.
	Base string
	// AcceleratorCount is the number of accelerators that a model spans; ignored for adapters.
	AcceleratorCount int
	// Bytes is the artifact's total size, with the KV cache reserve of a model, divided evenly among its accelerators.
	Bytes int64
	// CapacityBytes is the declared memory of each accelerator.
	CapacityBytes []int64
	// Incarnation and SessionFence are the incarnation and the id of the fence order of the session on which the order
	// will be sent.
	Incarnation  string
	SessionFence string
	// Witness is the endpoint that keeps a loaded copy while this one is unloaded; nil when the copy that remains is on
	// the same endpoint. The unload is written only if the witness's record did not change since its copy was seen
	// loaded, so that two holders cannot unload each other's witness.
	Witness *Endpoint
	// Withdrawn allows the unload of the last copy, because the artifact's declaration was removed.
	Withdrawn bool
	Role      string
}

// Reserve writes the reservation of a load, or marks a loaded artifact as unloading, before the order is sent. The
// order's fencing number is in the returned reservation. Errors: *DoesNotFitError, ErrOrderPending, ErrAlreadyReserved,
// ErrNotLoaded, ErrLastCopy, ErrBaseNotLoaded, ErrStaleSession, ErrLeaseNotHeld, ErrContended, ErrSchemaTooNew,
// kvstore.ErrUnavailable (nothing was written), kvstore.ErrOutcomeUnknown (the reservation may exist; the order must
// not be sent, and Resolve with NotRun removes it).
func (l *Ledger) Reserve(ctx context.Context, guard Guard, endpoint Endpoint, request Request) (Reservation, Record, error) {
	witness := func() ([]kvstore.Condition, error) { return l.witnessCondition(ctx, endpoint, request) }
	record, err := l.update(ctx, guard, endpoint, witness, func(record *Record) (bool, error) {
		return reserve(record, request)
	})
	if err != nil {
		return Reservation{}, record, err
	}
	return *record.Find(request.Artifact), record, nil
}

func (l *Ledger) witnessCondition(ctx context.Context, endpoint Endpoint, request Request) ([]kvstore.Condition, error) {
	if request.Withdrawn || request.Witness == nil || *request.Witness == endpoint {
		return nil, nil
	}
	witness, err := l.Read(ctx, *request.Witness)
	if err != nil {
		return nil, err
	}
	if !witness.HasLoaded(request.Artifact.Kind, request.Artifact.Name, engine.Artifact{}) {
		return nil, errors.Wrapf(ErrLastCopy, "%s holds no loaded copy of %s", request.Witness.Name, request.Artifact.Name)
	}
	return []kvstore.Condition{{Key: l.key(*request.Witness), Field: kvstore.ModRevision, Equals: witness.Revision}}, nil
}

func reserve(record *Record, request Request) (bool, error) {
	if !record.fencedBy(request.SessionFence) || record.Incarnation != request.Incarnation {
		return false, ErrStaleSession
	}
	held := record.Find(request.Artifact)
	if held != nil && held.OrderID == request.OrderID {
		return false, nil
	}
	if held != nil && held.Pending() {
		return false, errors.Wrapf(ErrOrderPending, "%s order %s", held.Verb, held.OrderID)
	}
	if request.Verb == engine.VerbLoad {
		return reserveLoad(record, held, request)
	}
	return reserveUnload(record, held, request)
}

func reserveLoad(record *Record, held *Reservation, request Request) (bool, error) {
	if held != nil {
		return false, ErrAlreadyReserved
	}
	record.CapacityBytes = slices.Clone(request.CapacityBytes)
	accelerators, perAccelerator, err := record.choose(request)
	if err != nil {
		return false, err
	}
	record.Reservations = append(record.Reservations, Reservation{
		Artifact:            request.Artifact,
		Base:                request.Base,
		Accelerators:        accelerators,
		BytesPerAccelerator: perAccelerator,
		State:               Loading,
		Verb:                engine.VerbLoad,
		OrderID:             request.OrderID,
		Incarnation:         request.Incarnation,
	})
	return true, nil
}

func reserveUnload(record *Record, held *Reservation, request Request) (bool, error) {
	if held == nil {
		return false, ErrNotLoaded
	}
	local := request.Witness == nil || *request.Witness == record.Endpoint
	if local && !request.Withdrawn && !record.HasLoaded(request.Artifact.Kind, request.Artifact.Name, request.Artifact) {
		return false, ErrLastCopy
	}
	held.State = Unloading
	held.Verb = engine.VerbUnload
	held.OrderID = request.OrderID
	held.FencingNumber = 0
	held.NoneOutstanding = false
	held.Incarnation = request.Incarnation
	return true, nil
}

// SplitBytes is the size of an artifact on each of its accelerators, rounded up.
func SplitBytes(total int64, accelerators int) int64 {
	if accelerators <= 0 {
		return total
	}
	return (total + int64(accelerators) - 1) / int64(accelerators)
}

// choose picks the accelerators of a load. A model gets the accelerators with the least free memory that suffices, so
// that large free areas remain; an adapter gets those of its model.
func (r *Record) choose(request Request) ([]int, int64, error) {
	if request.Artifact.Kind == engine.KindAdapter {
		return r.chooseForAdapter(request)
	}
	per := SplitBytes(request.Bytes, request.AcceleratorCount)
	used := r.UsedBytes()
	var fitting []int
	for index, capacity := range r.CapacityBytes {
		if capacity-used[index] >= per {
			fitting = append(fitting, index)
		}
	}
	if request.AcceleratorCount <= 0 || len(fitting) < request.AcceleratorCount {
		return nil, 0, r.doesNotFit(request, request.AcceleratorCount, per, nil)
	}
	slices.SortStableFunc(fitting, func(a, b int) int {
		freeA := r.CapacityBytes[a] - used[a]
		freeB := r.CapacityBytes[b] - used[b]
		return cmp.Compare(freeA, freeB)
	})
	chosen := fitting[:request.AcceleratorCount]
	slices.Sort(chosen)
	return chosen, per, nil
}

func (r *Record) chooseForAdapter(request Request) ([]int, int64, error) {
	refused := ErrBaseNotLoaded
	for _, base := range r.Reservations {
		if base.Artifact.Kind != engine.KindModel || base.Artifact.Name != request.Base || base.Pending() {
			continue
		}
		per := SplitBytes(request.Bytes, len(base.Accelerators))
		if r.fits(base.Accelerators, per) {
			return slices.Clone(base.Accelerators), per, nil
		}
		refused = r.doesNotFit(request, len(base.Accelerators), per, base.Accelerators)
	}
	return nil, 0, refused
}

func (r *Record) fits(accelerators []int, bytes int64) bool {
	used := r.UsedBytes()
	for _, index := range accelerators {
		if index >= len(r.CapacityBytes) || r.CapacityBytes[index]-used[index] < bytes {
			return false
		}
	}
	return true
}

func (r *Record) doesNotFit(request Request, count int, per int64, candidates []int) error {
	used := r.UsedBytes()
	if candidates == nil {
		for index := range used {
			candidates = append(candidates, index)
		}
	}
	return &DoesNotFitError{
		Artifact:            request.Artifact,
		AcceleratorsNeeded:  count,
		BytesPerAccelerator: per,
		CapacityBytes:       slices.Clone(r.CapacityBytes),
		UsedBytes:           used,
		Candidates:          candidates,
	}
}
