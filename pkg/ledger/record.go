// Package ledger keeps, for each endpoint, the accelerator memory that its engine may hold: one record per endpoint in
// the key-value store, changed only by compare-and-swap together with the condition of the placement lease. A
// reservation is written before the order that uses it is sent and is removed only when the engine is known not to hold
// the artifact and no order that could still arrive would load it.
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

// SchemaVersion is the version of the records that this build writes and the newest one that it reads.
const SchemaVersion = 1

// State is the state of a reservation.
type State string

const (
	// Loading means that a load order was reserved and its outcome is not recorded yet.
	Loading State = "loading"
	// Loaded means that the engine holds the artifact and no order for it is outstanding.
	Loaded State = "loaded"
	// Unloading means that an unload order was reserved and its outcome is not recorded yet.
	Unloading State = "unloading"
	// Unresolved means that an order was reserved on an earlier session and may or may not run, now or later.
	Unresolved State = "unresolved"
)

// Reservation is memory that an artifact takes or may take.
type Reservation struct {
	Artifact engine.Artifact `json:"artifact"`
	// Base is the model that an adapter belongs to; empty for a model.
	Base                string `json:"base,omitempty"`
	Accelerators        []int  `json:"accelerators"`
	BytesPerAccelerator int64  `json:"bytesPerAccelerator"`
	State               State  `json:"state"`
	// Verb, OrderID and FencingNumber describe the last order for the artifact. The fencing number is the revision of
	// the write that reserved the order. That write cannot contain its own revision: a stored zero stands for the
	// revision of the record, and every later write stores the number.
	Verb          engine.OrderVerb `json:"verb,omitempty"`
	OrderID       string           `json:"orderId,omitempty"`
	FencingNumber int64            `json:"fencingNumber,omitempty"`
	// NoneOutstanding means that no order for the artifact can arrive any more; a pending state then only waits for the
	// engine to finish.
	NoneOutstanding bool `json:"noneOutstanding,omitempty"`
	// Incarnation is the engine incarnation that the order's session is bound to.
	Incarnation string `json:"incarnation"`
}

// Pending tells whether an order for the artifact may still run or is running.
func (r Reservation) Pending() bool { return r.State != Loaded }

// RoleOrder is a set_role order whose outcome is not recorded yet. It takes no memory.
type RoleOrder struct {
	OrderID       string `json:"orderId"`
	Role          string `json:"role"`
	FencingNumber int64  `json:"fencingNumber,omitempty"`
	Incarnation   string `json:"incarnation"`
}

// FenceOrder is the last fence order.
type FenceOrder struct {
	OrderID       string `json:"orderId"`
	FencingNumber int64  `json:"fencingNumber,omitempty"`
}

// Record is the ledger of one endpoint.
type Record struct {
	SchemaVersion int `json:"schemaVersion"`
	// Incarnation is the engine incarnation of the last session.
	Incarnation string `json:"incarnation"`
	// CapacityBytes is the declared memory of each accelerator.
	CapacityBytes []int64       `json:"capacityBytes"`
	Reservations  []Reservation `json:"reservations"`
	Fence         *FenceOrder   `json:"fence,omitempty"`
	RoleOrder     *RoleOrder    `json:"roleOrder,omitempty"`
	// ReportsAfter is the fencing number of the oldest order after which a report must have been made to be used. It is
	// raised when a report shows something that happened without an order of the session, such as a late order: an older
	// report that arrives afterwards does not show it yet.
	ReportsAfter int64 `json:"reportsAfter,omitempty"`

	// Endpoint and Revision come from the store's key; a revision of zero means that no record exists yet.
	Endpoint Endpoint         `json:"-"`
	Revision kvstore.Revision `json:"-"`
}

// Endpoint names an endpoint and its data centre.
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

// HasLoaded tells whether a version of the named model or adapter, other than the excluded artifact, is loaded.
func (r *Record) HasLoaded(kind engine.ArtifactKind, name string, except engine.Artifact) bool {
	for _, held := range r.Reservations {
		if held.Artifact != except && held.Artifact.Kind == kind && held.Artifact.Name == name && !held.Pending() {
			return true
		}
	}
	return false
}

// UsedBytes returns the reserved bytes of each accelerator. The result is longer than CapacityBytes when a reservation
// names an accelerator that is no longer declared.
func (r *Record) UsedBytes() []int64 {
	used := make([]int64, len(r.CapacityBytes))
	for _, held := range r.Reservations {
		for _, index := range held.Accelerators {
			for index >= len(used) {
				used = append(used, 0)
			}
			used[index] += held.BytesPerAccelerator
		}
	}
	return used
}

// Overcommitted returns the accelerators whose reserved bytes exceed the declared memory, as after a reduction of the
// declared size.
func (r *Record) Overcommitted() []int {
	var found []int
	for index, used := range r.UsedBytes() {
		if index >= len(r.CapacityBytes) || used > r.CapacityBytes[index] {
			found = append(found, index)
		}
	}
	return found
}

func (r *Record) remove(artifact engine.Artifact) {
	r.Reservations = slices.DeleteFunc(r.Reservations, func(held Reservation) bool { return held.Artifact == artifact })
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

// setRevision records the revision of the write and gives it as fencing number to the orders that it reserved.
func (r *Record) setRevision(at kvstore.Revision) {
	r.Revision = at
	for i := range r.Reservations {
		if r.Reservations[i].FencingNumber == 0 {
			r.Reservations[i].FencingNumber = int64(at)
		}
	}
	if r.Fence != nil && r.Fence.FencingNumber == 0 {
		r.Fence.FencingNumber = int64(at)
	}
	if r.RoleOrder != nil && r.RoleOrder.FencingNumber == 0 {
		r.RoleOrder.FencingNumber = int64(at)
	}
}

func decode(endpoint Endpoint, kv kvstore.KeyValue) (Record, error) {
	var record Record
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		return Record{}, errors.Wrapf(err, "ledger record %s", kv.Key)
	}
	if record.SchemaVersion > SchemaVersion {
		return Record{}, errors.Wrapf(ErrSchemaTooNew, "ledger record %s has schema version %d", kv.Key, record.SchemaVersion)
	}
	record.Endpoint = endpoint
	record.setRevision(kv.ModRevision)
	return record, nil
}

// DoesNotFitError states why a load does not fit.
type DoesNotFitError struct {
	Artifact            engine.Artifact
	AcceleratorsNeeded  int
	BytesPerAccelerator int64
	CapacityBytes       []int64
	UsedBytes           []int64
	// Candidates are the accelerators that were considered.
	Candidates []int
}

// Error gives the arithmetic for each accelerator that was considered.
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
