// Package ledger records the accelerator memory that each endpoint's engine uses or may use. The key-value store has
// one record per endpoint. A record is changed only by compare-and-swap and only while the placement lease is held. A
// reservation is written before its order is sent. It is removed only when the engine is known not to hold the artifact
// and no order that loads it can still arrive.
package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// SchemaVersion is the version of records that this build writes, and the newest version that it reads.
const SchemaVersion = 1

// State is the state of a reservation.
type State string

const (
	// Loading means that a load order was reserved and its outcome is not recorded yet.
	Loading State = "loading"
	// Loaded means that the engine has loaded the artifact and no order for it is outstanding.
	Loaded State = "loaded"
	// Unloading means that an unload order was reserved and its outcome is not recorded yet.
	Unloading State = "unloading"
	// Unresolved means that an order of an earlier session may have run, may be running or may still run.
	Unresolved State = "unresolved"
)

// Reservation is the memory that an artifact uses or may use.
type Reservation struct {
	Artifact engine.Artifact `json:"artifact"`
	// Base is the model of an adapter. It is empty for a model.
	Base                string `json:"base,omitempty"`
	Accelerators        []int  `json:"accelerators"`
	BytesPerAccelerator int64  `json:"bytesPerAccelerator"`
	State               State  `json:"state"`
	// Verb, OrderID and FencingToken describe the last order for the artifact. The fencing token is the revision of the
	// write that reserved the order. That write cannot contain its own revision, so it stores zero, which stands for
	// the revision of the record. Every later write stores the token.
	Verb         engine.OrderVerb `json:"verb,omitempty"`
	OrderID      string           `json:"orderId,omitempty"`
	FencingToken int64            `json:"fencingNumber,omitempty"`
	// NoOrderOutstanding means that no order for the artifact can still arrive. A pending state then ends when the
	// engine finishes the load or unload.
	NoOrderOutstanding bool `json:"noneOutstanding,omitempty"`
	// Incarnation is the engine incarnation of the order's session.
	Incarnation string `json:"incarnation"`
}

// Pending reports whether an order for the artifact is running or may still run.
func (r Reservation) Pending() bool { return r.State != Loaded }

// RoleOrder is a set_role order whose outcome is not recorded yet. It reserves no memory.
type RoleOrder struct {
	OrderID      string `json:"orderId"`
	Role         string `json:"role"`
	FencingToken int64  `json:"fencingNumber,omitempty"`
	Incarnation  string `json:"incarnation"`
}

// FenceOrder is the fence order of the latest session.
type FenceOrder struct {
	OrderID      string `json:"orderId"`
	FencingToken int64  `json:"fencingNumber,omitempty"`
}

// Record is the ledger record of one endpoint.
type Record struct {
	SchemaVersion int `json:"schemaVersion"`
	// Incarnation is the engine incarnation of the last session.
	Incarnation string `json:"incarnation"`
	// CapacityBytes is the declared memory of each accelerator.
	CapacityBytes []int64       `json:"capacityBytes"`
	Reservations  []Reservation `json:"reservations"`
	Fence         *FenceOrder   `json:"fence,omitempty"`
	RoleOrder     *RoleOrder    `json:"roleOrder,omitempty"`
	// MinReportToken is a lower bound: a report is used only if the fencing token of the session's last order is at
	// least this high. It is raised when a report shows a change that no order of the session caused, such as the
	// effect of a late order: an older report that arrives afterwards does not show this change.
	MinReportToken int64 `json:"reportsAfter,omitempty"`

	// Endpoint comes from the key, and Revision is the record's revision in the store. A revision of zero means that
	// there is no record yet.
	Endpoint Endpoint         `json:"-"`
	Revision kvstore.Revision `json:"-"`
}

// Endpoint identifies an endpoint in its data centre.
type Endpoint struct {
	DataCentre string
	Name       string
}

// Find returns the reservation of an artifact, or nil.
func (r *Record) Find(artifact engine.Artifact) *Reservation {
	for i := range r.Reservations {
		if r.Reservations[i].Artifact == artifact {
			return &r.Reservations[i]
		}
	}
	return nil
}

// HasLoadedExcept reports whether any version of the model or adapter, other than the excluded artifact, is loaded.
func (r *Record) HasLoadedExcept(kind engine.ArtifactKind, name string, excluded engine.Artifact) bool {
	for _, reservation := range r.Reservations {
		if reservation.Artifact != excluded && reservation.Artifact.Kind == kind && reservation.Artifact.Name == name && !reservation.Pending() {
			return true
		}
	}
	return false
}

// UsedBytes returns the reserved bytes of each accelerator. The result is longer than CapacityBytes if a reservation is
// on an accelerator that is no longer declared.
func (r *Record) UsedBytes() []int64 {
	used := make([]int64, len(r.CapacityBytes))
	for _, reservation := range r.Reservations {
		for _, index := range reservation.Accelerators {
			for index >= len(used) {
				used = append(used, 0)
			}
			used[index] += reservation.BytesPerAccelerator
		}
	}
	return used
}

// Overcommitted returns the accelerators whose reserved bytes exceed the declared memory, for example after the
// declared memory was reduced.
func (r *Record) Overcommitted() []int {
	var found []int
	for index, used := range r.UsedBytes() {
		if index >= len(r.CapacityBytes) || used > r.CapacityBytes[index] {
			found = append(found, index)
		}
	}
	return found
}

func (r *Record) removeReservation(artifact engine.Artifact) {
	r.Reservations = slices.DeleteFunc(r.Reservations, func(reservation Reservation) bool { return reservation.Artifact == artifact })
}

// Clone returns a deep copy.
func (r *Record) Clone() Record {
	c := *r
	c.CapacityBytes = slices.Clone(r.CapacityBytes)
	c.Reservations = slices.Clone(r.Reservations)
	for i := range c.Reservations {
		c.Reservations[i].Accelerators = slices.Clone(r.Reservations[i].Accelerators)
	}
	if r.Fence != nil {
		fence := *r.Fence
		c.Fence = &fence
	}
	if r.RoleOrder != nil {
		order := *r.RoleOrder
		c.RoleOrder = &order
	}
	return c
}

// setRevisionAndTokens sets the revision of the record and the fencing tokens of the orders that were reserved at this
// revision.
func (r *Record) setRevisionAndTokens(revision kvstore.Revision) {
	r.Revision = revision
	for i := range r.Reservations {
		if r.Reservations[i].FencingToken == 0 {
			r.Reservations[i].FencingToken = int64(revision)
		}
	}
	if r.Fence != nil && r.Fence.FencingToken == 0 {
		r.Fence.FencingToken = int64(revision)
	}
	if r.RoleOrder != nil && r.RoleOrder.FencingToken == 0 {
		r.RoleOrder.FencingToken = int64(revision)
	}
}

// decode returns the stored record. Errors: ErrSchemaTooNew, or an error for malformed JSON.
func decode(endpoint Endpoint, kv kvstore.KeyValue) (Record, error) {
	var record Record
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		return Record{}, errors.Wrapf(err, "ledger record %s", kv.Key)
	}
	if record.SchemaVersion > SchemaVersion {
		return Record{}, errors.Wrapf(ErrSchemaTooNew, "ledger record %s has schema version %d", kv.Key, record.SchemaVersion)
	}
	record.Endpoint = endpoint
	record.setRevisionAndTokens(kv.ModRevision)
	return record, nil
}

// DoesNotFitError describes why a load does not fit.
type DoesNotFitError struct {
	Artifact            engine.Artifact
	AcceleratorsNeeded  int
	BytesPerAccelerator int64
	CapacityBytes       []int64
	UsedBytes           []int64
	// Candidates are the accelerators that were considered.
	Candidates []int
}

// Error returns the required memory and the free memory of each candidate.
func (e *DoesNotFitError) Error() string {
	var parts []string
	for _, index := range e.Candidates {
		capacity := int64(0)
		if index < len(e.CapacityBytes) {
			capacity = e.CapacityBytes[index]
		}
		parts = append(parts, fmt.Sprintf("accelerator %d: capacity %d - reserved %d = %d free",
			index, capacity, e.UsedBytes[index], capacity-e.UsedBytes[index]))
	}
	return fmt.Sprintf("%s %s version %s needs %d bytes on each of %d accelerators; %s", e.Artifact.Kind, e.Artifact.Name,
		e.Artifact.Version, e.BytesPerAccelerator, e.AcceleratorsNeeded, strings.Join(parts, ", "))
}
