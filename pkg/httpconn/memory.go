package httpconn

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/membudget"
)

// unreservedBytes is the part of each body that needs no reservation, so that small responses never wait for large ones.
const unreservedBytes = 16 << 10

// errMemoryUsedUp means that a body was not read on because the memory for bodies is used up.
var errMemoryUsedUp = errors.New("memory for response bodies is used up")

// minBodyBuffer is the first size of the buffer for a body of unknown length.
const minBodyBuffer = 4 << 10

// readKnownLength reads a body of a given length. It waits for the memory of the whole body before it reads, so that
// bodies that are each read in part never wait for each other.
func readKnownLength(ctx context.Context, deadline time.Time, body io.Reader, length int, memory *membudget.Reservation) ([]byte, error) {
	if length > unreservedBytes {
		if err := memory.Grow(ctx, deadline, length); err != nil {
			return nil, errors.Wrapf(errMemoryUsedUp, "%v", err)
		}
	}
	buffer := make([]byte, length)
	_, err := io.ReadFull(body, buffer)
	return buffer, err
}

// ReadAll reads a body of unknown length up to maxBytes. It gives up if the body becomes too large, or if the memory is used
// up by others that cannot be evicted. The buffers that are outgrown stay reserved, since they occupy memory until the next
// garbage collection.
func ReadAll(ctx context.Context, body io.Reader, maxBytes int, memory *membudget.Reservation) ([]byte, error) {
	buffer := make([]byte, 0, minBodyBuffer)
	for {
		if len(buffer) == cap(buffer) {
			grown := 2 * cap(buffer)
			if grown > unreservedBytes {
				if err := memory.GrowByEviction(ctx, grown); err != nil {
					return nil, errors.Wrapf(errMemoryUsedUp, "%v", err)
				}
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
