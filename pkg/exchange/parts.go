package exchange

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// partKeyBytes is the encoded size of a fleet.PartKey.
const partKeyBytes = 4

// maxPackedParts bounds the parts of one endpoint in a message.
const maxPackedParts = 4096

// PackParts encodes prompt parts that are grouped by endpoint: for each endpoint its key, the number of its parts as a
// variable-length integer, and the keys of the parts.
func PackParts(parts []fleet.SentPart) []byte {
	var packed []byte
	for len(parts) > 0 {
		count := 1
		for count < len(parts) && parts[count].Endpoint == parts[0].Endpoint {
			count++
		}
		packed = binary.BigEndian.AppendUint32(packed, uint32(parts[0].Endpoint))
		packed = binary.AppendUvarint(packed, uint64(count))
		for _, part := range parts[:count] {
			packed = binary.BigEndian.AppendUint32(packed, uint32(part.Part))
		}
		parts = parts[count:]
	}
	return packed
}

// UnpackParts decodes what PackParts encoded.
func UnpackParts(packed []byte) ([]fleet.SentPart, error) {
	var parts []fleet.SentPart
	for len(packed) > 0 {
		if len(packed) < endpointKeyBytes {
			return nil, errors.New("packed prompt parts end within an endpoint key")
		}
		endpoint := fleet.EndpointKey(binary.BigEndian.Uint32(packed))
		packed = packed[endpointKeyBytes:]
		count, length := binary.Uvarint(packed)
		if length <= 0 || count > maxPackedParts || uint64(len(packed)-length) < count*partKeyBytes {
			return nil, errors.Newf("packed prompt parts have an invalid count after %d parts", len(parts))
		}
		packed = packed[length:]
		for range count {
			parts = append(parts, fleet.SentPart{Endpoint: endpoint, Part: fleet.PartKey(binary.BigEndian.Uint32(packed))})
			packed = packed[partKeyBytes:]
		}
	}
	return parts, nil
}
