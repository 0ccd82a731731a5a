package httpconn

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// unreservedBytes is the part of each body that needs no reservation, so that small responses never wait for large ones.
const unreservedBytes = 16 << 10

// errMemoryUsedUp means that a body was not read on because the memory for bodies is used up.
var errMemoryUsedUp = errors.New("memory for response bodies is used up")

// MemoryBudget bounds the memory that the bodies of all responses occupy while they are buffered, so that endpoints that
// send bytes without end cannot use up the memory of the process. It is safe for concurrent use.
type MemoryBudget struct {
	free *semaphore.Weighted
}

// NewMemoryBudget returns a budget of the given size.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	return &MemoryBudget{free: semaphore.NewWeighted(bytes)}
}

// Reservation is the share of a MemoryBudget that one request holds. It is not safe for concurrent use.
type Reservation struct {
	budget *MemoryBudget
	bytes  int64
}

// Reserve returns an empty reservation, which must be released. A nil budget grants everything.
func (b *MemoryBudget) Reserve() *Reservation {
	return &Reservation{budget: b}
}

// TryGrow adds bytes to the reservation, and returns false if the budget has too few left.
func (r *Reservation) TryGrow(bytes int) bool {
	if r == nil || r.budget == nil {
		return true
	}
	if !r.budget.free.TryAcquire(int64(bytes)) {
		return false
	}
	r.bytes += int64(bytes)
	return true
}

// waitToGrow is like TryGrow, but waits until enough bytes are left, the context ends or the deadline has passed. A zero
// deadline means no deadline.
func (r *Reservation) waitToGrow(ctx context.Context, deadline time.Time, bytes int) error {
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	if err := r.budget.free.Acquire(ctx, int64(bytes)); err != nil {
		return errors.Wrapf(errMemoryUsedUp, "%v", err)
	}
	r.bytes += int64(bytes)
	return nil
}

// Release returns all bytes to the budget. The reservation may be used again.
func (r *Reservation) Release() {
	if r == nil || r.budget == nil {
		return
	}
	r.budget.free.Release(r.bytes)
	r.bytes = 0
}

// minBodyBuffer is the first size of the buffer for a body of unknown length.
const minBodyBuffer = 4 << 10

// readKnownLength reads a body of a given length. It waits for the memory of the whole body before it reads, so that
// bodies that are each read in part never wait for each other.
func readKnownLength(ctx context.Context, deadline time.Time, body io.Reader, length int, memory *Reservation) ([]byte, error) {
	if length > unreservedBytes && !memory.TryGrow(length) {
		if err := memory.waitToGrow(ctx, deadline, length); err != nil {
			return nil, err
		}
	}
	buffer := make([]byte, length)
	_, err := io.ReadFull(body, buffer)
	return buffer, err
}

// ReadAll reads a body of unknown length up to maxBytes. It gives up if the body becomes too large or the memory is used
// up. The buffers that are outgrown stay reserved, since they occupy memory until the next garbage collection.
func ReadAll(body io.Reader, maxBytes int, memory *Reservation) ([]byte, error) {
	buffer := make([]byte, 0, minBodyBuffer)
	for {
		if len(buffer) == cap(buffer) {
			grown := 2 * cap(buffer)
			if grown > unreservedBytes && !memory.TryGrow(grown) {
				return nil, errMemoryUsedUp
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if len(buffer) > maxBytes {
			return nil, errors.Newf("body exceeds %d bytes", maxBytes)
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
