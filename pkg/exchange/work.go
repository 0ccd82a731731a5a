package exchange

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// endpointKey stands for an endpoint's id in packed work, which is the largest part of what instances tell each other: a
// third of the bytes of an id. Two of 5,500 endpoints share a key with a probability of 0.4 percent; each is then taken to
// have the work of both.
type endpointKey uint32

func keyOf(id string) endpointKey {
	return endpointKey(xxhash.Sum64String(id))
}

// endpointKeyBytes is the length of a packed key.
const endpointKeyBytes = 4

// PackWork encodes work by endpoint id: for each endpoint its key and then waiting, prefill tokens, urgent tokens, running
// and prefill rate as variable-length integers. It never returns nil.
func PackWork(work map[string]fleet.Work) []byte {
	packed := make([]byte, 0, len(work)*(endpointKeyBytes+10))
	for id, w := range work {
		packed = binary.BigEndian.AppendUint32(packed, uint32(keyOf(id)))
		for _, n := range [...]int{w.Waiting, w.PrefillTokens, w.UrgentTokens, w.Running, w.PrefillRate} {
			packed = binary.AppendUvarint(packed, uint64(max(n, 0)))
		}
	}
	return packed
}

// Work is what another instance has at the endpoints.
type Work map[endpointKey]fleet.Work

// Of returns the work at an endpoint.
func (w Work) Of(id string) (fleet.Work, bool) {
	work, found := w[keyOf(id)]
	return work, found
}

// maxWorkNumber bounds each number of packed work; larger ones cannot come from an instance.
const maxWorkNumber = 1 << 40

// UnpackWork decodes what PackWork encoded.
func UnpackWork(packed []byte) (Work, error) {
	work := make(Work)
	for len(packed) > 0 {
		if len(packed) < endpointKeyBytes {
			return nil, errors.New("work ends within a key")
		}
		key := endpointKey(binary.BigEndian.Uint32(packed))
		packed = packed[endpointKeyBytes:]
		var numbers [5]int
		for i := range numbers {
			n, length := binary.Uvarint(packed)
			if length <= 0 || n > maxWorkNumber {
				return nil, errors.Newf("work of %d endpoints is followed by an unreadable number", len(work))
			}
			numbers[i], packed = int(n), packed[length:]
		}
		work[key] = fleet.Work{
			Waiting: numbers[0], PrefillTokens: numbers[1], UrgentTokens: numbers[2], Running: numbers[3], PrefillRate: numbers[4],
		}
	}
	return work, nil
}
