package httpconn

import (
	"bytes"
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

// The parts in which a body of unknown length is read grow from the first size to the second one, each as large as those before
// together.
const (
	minPartBytes = 4 << 10
	maxPartBytes = 256 << 10
)

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
// up by others that cannot be evicted. The parts in which it is read stay reserved next to the whole, since they occupy
// memory until the next garbage collection.
func ReadAll(ctx context.Context, body io.Reader, maxBytes int, memory *membudget.Reservation) ([]byte, error) {
	var parts [][]byte
	size := 0
	for {
		capacity := min(max(size, minPartBytes), maxPartBytes)
		if err := reserve(ctx, memory, size+capacity, capacity); err != nil {
			return nil, err
		}
		part, err := readPart(body, capacity)
		parts = append(parts, part)
		size += len(part)
		switch {
		case size > maxBytes:
			return nil, bodyTooLarge(maxBytes)
		case errors.Is(err, io.EOF):
			return join(ctx, parts, size, memory)
		case err != nil:
			return nil, err
		}
	}
}

// readPart reads until the part is full or the body has ended, which an error shows.
func readPart(body io.Reader, capacity int) ([]byte, error) {
	part := make([]byte, capacity)
	read := 0
	for read < capacity {
		n, err := body.Read(part[read:])
		read += n
		if err != nil {
			return part[:read], err
		}
	}
	return part, nil
}

func join(ctx context.Context, parts [][]byte, size int, memory *membudget.Reservation) ([]byte, error) {
	if len(parts) == 1 {
		return parts[0], nil
	}
	if err := reserve(ctx, memory, size, size); err != nil {
		return nil, err
	}
	return bytes.Join(parts, nil), nil
}

// reserve reserves bytes for a body that occupies total bytes then.
func reserve(ctx context.Context, memory *membudget.Reservation, total, bytes int) error {
	if total <= unreservedBytes {
		return nil
	}
	if err := memory.GrowByEviction(ctx, bytes); err != nil {
		return errors.Wrapf(errMemoryUsedUp, "%v", err)
	}
	return nil
}
