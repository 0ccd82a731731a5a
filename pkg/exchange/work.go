package exchange

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// endpointKey is a hash that replaces an endpoint's id in packed work. It takes a third of the bytes of an id; packed
// work is the largest part of the messages between instances. The probability that any two of 5,500 endpoints share a
// key is 0.4 percent; each of the two then counts as having the work of both.
type endpointKey uint32

func endpointKeyOf(id string) endpointKey {
	return endpointKey(xxhash.Sum64String(id))
}

// endpointKeyBytes is the encoded size of an endpointKey.
const endpointKeyBytes = 4

// PackWork encodes work by endpoint id: for each endpoint its key, followed by waiting, prefill tokens, urgent tokens,
// running and prefill rate as variable-length integers. It never returns nil.
func PackWork(work map[string]fleet.Work) []byte {
	packed := make([]byte, 0, len(work)*(endpointKeyBytes+10))
	for id, w := range work {
		packed = binary.BigEndian.AppendUint32(packed, uint32(endpointKeyOf(id)))
		for _, value := range [...]int{w.Waiting, w.PrefillTokens, w.UrgentTokens, w.Running, w.PrefillRate} {
			packed = binary.AppendUvarint(packed, uint64(max(value, 0)))
		}
	}
	return packed
}

// Work is another instance's work by endpoint.
type Work map[endpointKey]fleet.Work

// Of returns the work at an endpoint.
func (w Work) Of(id string) (fleet.Work, bool) {
	work, found := w[endpointKeyOf(id)]
	return work, found
}

// maxWorkValue bounds each integer of packed work; no instance sends larger ones.
const maxWorkValue = 1 << 40

// UnpackWork decodes what PackWork encoded.
func UnpackWork(packed []byte) (Work, error) {
	work := make(Work)
	for len(packed) > 0 {
		if len(packed) < endpointKeyBytes {
			return nil, errors.New("packed work ends within an endpoint key")
		}
		key := endpointKey(binary.BigEndian.Uint32(packed))
		packed = packed[endpointKeyBytes:]
		var values [5]int
		for i := range values {
			value, length := binary.Uvarint(packed)
			if length <= 0 || value > maxWorkValue {
				return nil, errors.Newf("packed work has an invalid integer after %d complete endpoints", len(work))
			}
			values[i], packed = int(value), packed[length:]
		}
		work[key] = fleet.Work{
			Waiting: values[0], PrefillTokens: values[1], UrgentTokens: values[2], Running: values[3], PrefillRate: values[4],
		}
	}
	return work, nil
}
