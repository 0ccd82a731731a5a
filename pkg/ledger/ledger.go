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
// record, so more than one retry is rare.
const maxAttempts = 5

var (
	// ErrLeaseNotHeld means that the placement lease is not held. Nothing was written, unless the error is also
	// kvstore.ErrOutcomeUnknown.
	ErrLeaseNotHeld = errors.New("placement lease is not held")
	// ErrOrderPending means that an order for the artifact may still run. No other order for it may be sent.
	ErrOrderPending = errors.New("an order for the artifact is unresolved")
	// ErrNotLoaded means that an unload names an artifact without a reservation.
	ErrNotLoaded = errors.New("artifact is not loaded")
	// ErrAlreadyLoaded means that a load names an artifact that is already loaded.
	ErrAlreadyLoaded = errors.New("artifact is already loaded")
	// ErrLastCopy means that no other loaded copy of the model or adapter was found for an unload.
	ErrLastCopy = errors.New("the unload would remove the last loaded copy")
	// ErrSessionMismatch means that the record does not belong to the request's session: a newer session was opened, or
	// the record is not yet reconciled with the engine incarnation of the session.
	ErrSessionMismatch = errors.New("ledger record does not match the session with the engine")
	// ErrBaseNotLoaded means that an adapter's model is not loaded on the endpoint.
	ErrBaseNotLoaded = errors.New("the adapter's model is not loaded")
	// ErrSchemaTooNew means that a newer build wrote the record. This build must not change it.
	ErrSchemaTooNew = errors.New("ledger schema version is newer than this build supports")
	// ErrContended means that every attempt failed because another writer changed the record or the record of the
	// unload's witness (Request.Witness), or because the reply was lost. Nothing was written, unless the error is also
	// kvstore.ErrOutcomeUnknown.
	ErrContended = errors.New("ledger record could not be written because of concurrent changes or lost replies")
)

// Guard provides access to the placement lease of the shard that contains the endpoint whose record is changed.
type Guard interface {
	// Condition returns the condition that is true in the store while the lease is held. The second result is false if
	// the lease is not held, or if its deadline has passed on the local clock.
	Condition() (kvstore.Condition, bool)
}

// Store is the part of the key-value store that the ledger uses.
type Store interface {
	kvstore.Reader
	kvstore.Writer
}

// Ledger reads and changes the records of all endpoints. It is safe for concurrent use.
type Ledger struct {
	store  Store
	prefix string
}

// New returns a ledger with the given key prefix, such as "mulberryglade/".
func New(store Store, prefix string) *Ledger {
	return &Ledger{store: store, prefix: prefix + "ledger/"}
}

func (l *Ledger) key(endpoint Endpoint) string {
	return l.prefix + endpoint.DataCentre + "/" + endpoint.Name
}

// Read returns the record of an endpoint, or an empty record at revision zero if there is none. Errors:
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

// List returns the records of a data centre in name order. The map holds an error for each record that this build
// cannot read, by endpoint name; such records do not affect the others. Errors: kvstore.ErrUnavailable.
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

// recordChange edits a record in memory. It must be idempotent: after a lost reply it runs again on a record that may
// already contain its effect. It returns false if the record needs no write.
type recordChange func(record *Record) (bool, error)

// noConditions returns no extra conditions. It is used for updates that depend on no other record.
func noConditions() ([]kvstore.Condition, error) { return nil, nil }

// update applies a change by compare-and-swap on the record. The write also requires the lease's condition and the
// extra conditions, which are read again for each attempt.
func (l *Ledger) update(ctx context.Context, guard Guard, endpoint Endpoint, extraConditions func() ([]kvstore.Condition, error), apply recordChange) (Record, error) {
	record, err := l.Read(ctx, endpoint)
	if err != nil {
		return Record{}, err
	}
	outcomeUnknown := false
	for range maxAttempts {
		changed, err := apply(&record)
		if err != nil || !changed {
			return record, markOutcomeUnknown(err, outcomeUnknown)
		}
		conditions, err := extraConditions()
		if err != nil {
			return record, markOutcomeUnknown(err, outcomeUnknown)
		}
		written, err := l.commit(ctx, guard, record, conditions)
		if err == nil {
			return written, nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, kvstore.ErrOutcomeUnknown)
		if !errors.Is(err, ErrContended) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return Record{}, markOutcomeUnknown(err, outcomeUnknown)
		}
		record, err = l.Read(ctx, endpoint)
		if err != nil {
			return Record{}, markOutcomeUnknown(err, outcomeUnknown)
		}
	}
	return Record{}, markOutcomeUnknown(ErrContended, outcomeUnknown)
}

// markOutcomeUnknown marks the error with kvstore.ErrOutcomeUnknown if an attempt of the operation lost its reply.
func markOutcomeUnknown(err error, outcomeUnknown bool) error {
	if err == nil || !outcomeUnknown || errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return err
	}
	return errors.Mark(err, kvstore.ErrOutcomeUnknown)
}

// commit tries once to write the record. ErrContended means that another write came first and nothing was written.
func (l *Ledger) commit(ctx context.Context, guard Guard, record Record, extraConditions []kvstore.Condition) (Record, error) {
	leaseCondition, held := guard.Condition()
	if !held {
		return Record{}, ErrLeaseNotHeld
	}
	record.SchemaVersion = SchemaVersion
	value, err := json.Marshal(&record)
	if err != nil {
		return Record{}, errors.Wrap(err, "encode ledger record")
	}
	key := l.key(record.Endpoint)
	conditions := []kvstore.Condition{{Key: key, Field: kvstore.ModRevision, Equals: record.Revision}, leaseCondition}
	results, err := l.store.Commit(ctx, []kvstore.ConditionalWrite{{
		Conditions:    append(conditions, extraConditions...),
		Puts:          []kvstore.Put{{Key: key, Value: value}},
		ReadOnFailure: []string{leaseCondition.Key},
	}})
	if err != nil {
		notWritten := errors.Is(err, kvstore.ErrUnavailable) || errors.Is(err, kvstore.ErrValueTooLarge)
		return Record{}, markOutcomeUnknown(err, !notWritten)
	}
	if !results[0].Applied {
		return Record{}, commitFailure(leaseCondition, results[0].Current)
	}
	record.setRevisionAndTokens(results[0].Revision)
	return record, nil
}

// commitFailure returns ErrLeaseNotHeld if the lease's condition failed, and ErrContended otherwise.
func commitFailure(leaseCondition kvstore.Condition, current []kvstore.KeyValue) error {
	actual := kvstore.Revision(0)
	for _, kv := range current {
		if kv.Key != leaseCondition.Key {
			continue
		}
		actual = kv.ModRevision
		if leaseCondition.Field == kvstore.CreateRevision {
			actual = kv.CreateRevision
		}
	}
	if actual != leaseCondition.Equals {
		return ErrLeaseNotHeld
	}
	return ErrContended
}

// Request describes an order and the memory to reserve for it.
type Request struct {
	OrderID  string
	Verb     engine.OrderVerb
	Artifact engine.Artifact
	// Base is the model of an adapter. An adapter is placed on the accelerators of a loaded copy of its model.
	Base string
	// AcceleratorCount is the number of accelerators of a copy of a model. It is ignored for adapters.
	AcceleratorCount int
	// Bytes is the total size of the artifact on all accelerators. For a model, it includes the KV cache reservation.
	// It is divided evenly among the accelerators.
	Bytes int64
	// CapacityBytes is the declared memory of each accelerator.
	CapacityBytes []int64
	// Incarnation is the engine incarnation of the session on which the order will be sent. SessionFenceID is the id of
	// the fence order that opened this session.
	Incarnation    string
	SessionFenceID string
	// Witness is the endpoint whose loaded copy of the model or adapter remains after this unload. It is nil if the
	// remaining copy is on the same endpoint. The unload is written only if the witness's record has not changed since
	// it was read with a loaded copy. Otherwise the lease holders of two shards could unload at the same time, each
	// relying on the copy in the other's shard.
	Witness *Endpoint
	// Withdrawn allows the unload of the last copy, because the artifact is no longer declared.
	Withdrawn bool
	// Role is the engine's new role. Only ReserveRole uses it; it is empty for loads and unloads.
	Role string
}

// Reserve writes the reservation of a load, or marks a loaded artifact as unloading, before the order is sent. The
// returned reservation contains the order's fencing token, which is the revision of this write. Errors:
// *DoesNotFitError, ErrOrderPending, ErrAlreadyLoaded, ErrNotLoaded, ErrLastCopy, ErrBaseNotLoaded, ErrSessionMismatch,
// ErrLeaseNotHeld, ErrContended, ErrSchemaTooNew, kvstore.ErrUnavailable, kvstore.ErrOutcomeUnknown. After
// kvstore.ErrOutcomeUnknown, the change may have been written: the order must not be sent, and Resolve with NotRun
// undoes the change. After any other error, nothing was written.
func (l *Ledger) Reserve(ctx context.Context, guard Guard, endpoint Endpoint, request Request) (Reservation, Record, error) {
	witnessConditions := func() ([]kvstore.Condition, error) { return l.witnessCondition(ctx, endpoint, request) }
	record, err := l.update(ctx, guard, endpoint, witnessConditions, func(record *Record) (bool, error) {
		return reserve(record, request)
	})
	if err != nil {
		return Reservation{}, record, err
	}
	return *record.Find(request.Artifact), record, nil
}

// witnessCondition returns the condition that the witness's record is unchanged. It returns none if the artifact is
// withdrawn or no other endpoint is the witness.
func (l *Ledger) witnessCondition(ctx context.Context, endpoint Endpoint, request Request) ([]kvstore.Condition, error) {
	if request.Withdrawn || request.Witness == nil || *request.Witness == endpoint {
		return nil, nil
	}
	witness, err := l.Read(ctx, *request.Witness)
	if err != nil {
		return nil, err
	}
	if !witness.HasLoadedExcept(request.Artifact.Kind, request.Artifact.Name, engine.Artifact{}) {
		return nil, errors.Wrapf(ErrLastCopy, "%s holds no loaded copy of %s", request.Witness.Name, request.Artifact.Name)
	}
	return []kvstore.Condition{{Key: l.key(*request.Witness), Field: kvstore.ModRevision, Equals: witness.Revision}}, nil
}

func reserve(record *Record, request Request) (bool, error) {
	if !record.isLatestSession(request.SessionFenceID) || record.Incarnation != request.Incarnation {
		return false, ErrSessionMismatch
	}
	reservation := record.Find(request.Artifact)
	if reservation != nil && reservation.OrderID == request.OrderID {
		return false, nil
	}
	if reservation != nil && reservation.Pending() {
		return false, errors.Wrapf(ErrOrderPending, "%s order %s", reservation.Verb, reservation.OrderID)
	}
	if request.Verb == engine.VerbLoad {
		return reserveLoad(record, reservation, request)
	}
	return reserveUnload(record, reservation, request)
}

func reserveLoad(record *Record, reservation *Reservation, request Request) (bool, error) {
	if reservation != nil {
		return false, ErrAlreadyLoaded
	}
	record.CapacityBytes = slices.Clone(request.CapacityBytes)
	accelerators, perAccelerator, err := record.chooseAccelerators(request)
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

func reserveUnload(record *Record, reservation *Reservation, request Request) (bool, error) {
	if reservation == nil {
		return false, ErrNotLoaded
	}
	remainingCopyIsHere := request.Witness == nil || *request.Witness == record.Endpoint
	if remainingCopyIsHere && !request.Withdrawn && !record.HasLoadedExcept(request.Artifact.Kind, request.Artifact.Name, request.Artifact) {
		return false, ErrLastCopy
	}
	reservation.State = Unloading
	reservation.Verb = engine.VerbUnload
	reservation.OrderID = request.OrderID
	reservation.FencingToken = 0
	reservation.NoOrderOutstanding = false
	reservation.Incarnation = request.Incarnation
	return true, nil
}

// SplitBytes returns the size of an artifact on each of its accelerators, rounded up.
func SplitBytes(total int64, accelerators int) int64 {
	if accelerators <= 0 {
		return total
	}
	return (total + int64(accelerators) - 1) / int64(accelerators)
}

// chooseAccelerators returns the accelerators of a load and the bytes on each. A model gets the accelerators with the
// least free memory that suffices, so that large free areas remain. An adapter gets those of its model.
func (r *Record) chooseAccelerators(request Request) ([]int, int64, error) {
	if request.Artifact.Kind == engine.KindAdapter {
		return r.chooseForAdapter(request)
	}
	bytesEach := SplitBytes(request.Bytes, request.AcceleratorCount)
	used := r.UsedBytes()
	var fitting []int
	for index, capacity := range r.CapacityBytes {
		if capacity-used[index] >= bytesEach {
			fitting = append(fitting, index)
		}
	}
	if request.AcceleratorCount <= 0 || len(fitting) < request.AcceleratorCount {
		return nil, 0, r.newDoesNotFitError(request, request.AcceleratorCount, bytesEach, nil)
	}
	slices.SortStableFunc(fitting, func(a, b int) int {
		freeA := r.CapacityBytes[a] - used[a]
		freeB := r.CapacityBytes[b] - used[b]
		return cmp.Compare(freeA, freeB)
	})
	chosen := fitting[:request.AcceleratorCount]
	slices.Sort(chosen)
	return chosen, bytesEach, nil
}

func (r *Record) chooseForAdapter(request Request) ([]int, int64, error) {
	rejection := ErrBaseNotLoaded
	for _, base := range r.Reservations {
		if base.Artifact.Kind != engine.KindModel || base.Artifact.Name != request.Base || base.Pending() {
			continue
		}
		bytesEach := SplitBytes(request.Bytes, len(base.Accelerators))
		if r.fits(base.Accelerators, bytesEach) {
			return slices.Clone(base.Accelerators), bytesEach, nil
		}
		rejection = r.newDoesNotFitError(request, len(base.Accelerators), bytesEach, base.Accelerators)
	}
	return nil, 0, rejection
}

func (r *Record) fits(accelerators []int, bytesEach int64) bool {
	used := r.UsedBytes()
	for _, index := range accelerators {
		if index >= len(r.CapacityBytes) || r.CapacityBytes[index]-used[index] < bytesEach {
			return false
		}
	}
	return true
}

func (r *Record) newDoesNotFitError(request Request, count int, bytesEach int64, candidates []int) error {
	used := r.UsedBytes()
	if candidates == nil {
		for index := range used {
			candidates = append(candidates, index)
		}
	}
	return &DoesNotFitError{
		Artifact:            request.Artifact,
		AcceleratorsNeeded:  count,
		BytesPerAccelerator: bytesEach,
		CapacityBytes:       slices.Clone(r.CapacityBytes),
		UsedBytes:           used,
		Candidates:          candidates,
	}
}
