package edge

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxRelayedConfigBytes bounds the compressed configuration in a relay message, so that it fits into a datagram
	// together with the rest of the message. Instances read a larger configuration from the store.
	maxRelayedConfigBytes = 32 << 10
	// maxConfigBytes bounds a decompressed configuration. It is the maximum size of an entry in the store.
	maxConfigBytes = 4 << 20
)

// configEntry is the store's entry of the configuration in force.
type configEntry struct {
	version int64
	value   []byte
	// inForceSince is when the configuration came into force at this instance.
	inForceSince time.Time
	// compressedValue is set by the first call of compressed; nil if it is too large to be relayed.
	compressedValue  []byte
	compressionTried bool
}

// compressed returns the compressed value, or nil if it is too large to be relayed. Calls must not overlap.
func (e *configEntry) compressed() ([]byte, error) {
	if e.compressionTried {
		return e.compressedValue, nil
	}
	e.compressionTried = true
	compressedValue, err := compress(e.value)
	if err == nil && len(compressedValue) <= maxRelayedConfigBytes {
		e.compressedValue = compressedValue
	}
	return e.compressedValue, err
}

func compress(value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if _, err := w.Write(value); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return compressed.Bytes(), nil
}

// decompressConfig reverses compress.
func decompressConfig(compressed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxConfigBytes))
	return value, errors.Wrap(err, "decompress configuration")
}
