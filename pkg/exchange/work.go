package exchange

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// endpointKeyBytes is the encoded size of a fleet.EndpointKey.
const endpointKeyBytes = 4

// PackWork encodes work by endpoint id: for each endpoint its key, followed by waiting, prefill tokens, urgent tokens,
// running and prefill rate as variable-length integers. It never returns nil.
func PackWork(work map[string]fleet.Work) []byte {
	packed := make([]byte, 0, len(work)*(endpointKeyBytes+10))
	for id, w := range work {
		packed = binary.BigEndian.AppendUint32(packed, uint32(fleet.EndpointKeyOf(id)))
		for _, value := range [...]int{w.Waiting, w.PrefillTokens, w.UrgentTokens, w.Running, w.PrefillRate} {
			packed = binary.AppendUvarint(packed, uint64(max(value, 0)))
		}
	}
	return packed
}

// maxWorkValue bounds each integer of packed work; no instance sends larger ones.
const maxWorkValue = 1 << 40

// UnpackWork decodes what PackWork encoded.
func UnpackWork(packed []byte) (map[fleet.EndpointKey]fleet.Work, error) {
	work := make(map[fleet.EndpointKey]fleet.Work)
	for len(packed) > 0 {
		if len(packed) < endpointKeyBytes {
			return nil, errors.New("packed work ends within an endpoint key")
		}
		key := fleet.EndpointKey(binary.BigEndian.Uint32(packed))
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
