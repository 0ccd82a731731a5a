package edge

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxRelayedConfig bounds a compressed configuration that is relayed, so that it fits into a datagram with the rest of the
	// message. Instances read a larger one from the store.
	maxRelayedConfig = 32 << 10
	// maxConfigBytes bounds a configuration that is unpacked: it is the most that an entry of the store can have.
	maxConfigBytes = 4 << 20
)

// configEntry is the store's entry of the configuration in force.
type configEntry struct {
	version int64
	value   []byte
	// since is when it came into force here.
	since time.Time
	// packed is the compressed value once it was asked for.
	packed []byte
	asked  bool
}

// compressed returns the compressed value, or nil if it is too large to be relayed. Calls must not overlap.
func (e *configEntry) compressed() ([]byte, error) {
	if e.asked {
		return e.packed, nil
	}
	e.asked = true
	packed, err := pack(e.value)
	if err == nil && len(packed) <= maxRelayedConfig {
		e.packed = packed
	}
	return e.packed, err
}

func pack(value []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if _, err := w.Write(value); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return packed.Bytes(), nil
}

// unpackConfig returns the entry that was compressed.
func unpackConfig(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigBytes))
	return value, errors.Wrap(err, "decompress configuration")
}
