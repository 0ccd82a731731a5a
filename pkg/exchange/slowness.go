package exchange

import (
	"encoding/binary"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

const (
	// slownessScale is the number of units per natural logarithm in packed measurements.
	slownessScale = 64
	// maxPackedSamples bounds the measurements of one endpoint in a message.
	maxPackedSamples = 1024
)

// PackSlowness encodes measurements of endpoints: for each its key, the number of samples and their sum, the latter two as
// variable-length integers.
func PackSlowness(samples []fleet.SlownessSamples) []byte {
	var packed []byte
	for _, s := range samples {
		packed = binary.BigEndian.AppendUint32(packed, uint32(s.Endpoint))
		packed = binary.AppendUvarint(packed, uint64(min(s.Count, maxPackedSamples)))
		// A sum that is rounded up beyond the bound would be invalid.
		bound := math.Floor(float64(min(s.Count, maxPackedSamples)) * fleet.MaxLogSlowness * slownessScale)
		packed = binary.AppendVarint(packed, int64(min(max(math.Round(s.LogSum*slownessScale), -bound), bound)))
	}
	return packed
}

// UnpackSlowness decodes what PackSlowness encoded.
func UnpackSlowness(packed []byte) ([]fleet.SlownessSamples, error) {
	var samples []fleet.SlownessSamples
	for len(packed) > 0 {
		if len(packed) < endpointKeyBytes {
			return nil, errors.New("packed measurements end within an endpoint key")
		}
		s := fleet.SlownessSamples{Endpoint: fleet.EndpointKey(binary.BigEndian.Uint32(packed))}
		packed = packed[endpointKeyBytes:]
		count, length := binary.Uvarint(packed)
		if length <= 0 || count > maxPackedSamples {
			return nil, errors.Newf("packed measurements have an invalid number after %d endpoints", len(samples))
		}
		packed = packed[length:]
		sum, length := binary.Varint(packed)
		s.Count, s.LogSum = int(count), float64(sum)/slownessScale
		if length <= 0 || math.Abs(s.LogSum) > float64(s.Count)*fleet.MaxLogSlowness {
			return nil, errors.Newf("packed measurements have an invalid sum after %d endpoints", len(samples))
		}
		packed = packed[length:]
		samples = append(samples, s)
	}
	return samples, nil
}
