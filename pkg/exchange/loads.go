package exchange

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

const (
	// loadAgeUnit and loadPercentUnit are the units of the age and of the time of work in packed loads, chosen so that each
	// usually takes one byte.
	loadAgeUnit     = 10 * time.Millisecond
	loadPercentUnit = 4
	// maxLoadAge bounds the age of a packed load; older ones are of no use.
	maxLoadAge = time.Minute
	// maxPackedLoad bounds the other integers of packed loads.
	maxPackedLoad = 1 << 16
	// latencySteps is the number of steps per natural logarithm in packed latencies, and minPackedLatency the least one.
	latencySteps     = 12
	minPackedLatency = 100 * time.Microsecond
	// maxPackedLatency is the packed value of some two minutes, beyond any deadline.
	maxPackedLatency = 170
)

// PackLoads encodes what endpoints have stated: for each its key, followed by the age, twice the number of calls, plus one if the endpoint rejected one, the time of
// work and the latency as variable-length integers. The latency is packed as a logarithm, zero if it is not known.
func PackLoads(samples []fleet.LoadSample) []byte {
	var packed []byte
	for _, s := range samples {
		packed = binary.BigEndian.AppendUint32(packed, uint32(s.Endpoint))
		packed = binary.AppendUvarint(packed, uint64(min(max(s.Age, 0), maxLoadAge)/loadAgeUnit))
		calls := uint64(2 * min(max(s.Calls, 0), maxPackedLoad/2-1))
		if s.Rejected {
			calls++
		}
		packed = binary.AppendUvarint(packed, calls)
		packed = binary.AppendUvarint(packed, uint64(min(max(s.WorkPercent/loadPercentUnit, 1), maxPackedLoad)))
		latency := 0
		if s.Latency > 0 {
			latency = min(1+int(math.Round(latencySteps*math.Log(max(float64(s.Latency)/float64(minPackedLatency), 1)))), maxPackedLatency)
		}
		packed = binary.AppendUvarint(packed, uint64(latency))
	}
	return packed
}

// UnpackLoads decodes what PackLoads encoded.
func UnpackLoads(packed []byte) ([]fleet.LoadSample, error) {
	var samples []fleet.LoadSample
	for len(packed) > 0 {
		if len(packed) < endpointKeyBytes {
			return nil, errors.New("packed loads end within an endpoint key")
		}
		s := fleet.LoadSample{Endpoint: fleet.EndpointKey(binary.BigEndian.Uint32(packed))}
		packed = packed[endpointKeyBytes:]
		var values [4]int
		for i := range values {
			value, length := binary.Uvarint(packed)
			if length <= 0 || value > maxPackedLoad {
				return nil, errors.Newf("packed loads have an invalid integer after %d endpoints", len(samples))
			}
			values[i], packed = int(value), packed[length:]
		}
		if values[2] == 0 || values[3] > maxPackedLatency || time.Duration(values[0])*loadAgeUnit > maxLoadAge {
			return nil, errors.Newf("packed loads have an invalid value after %d endpoints", len(samples))
		}
		s.Age, s.Calls, s.WorkPercent = time.Duration(values[0])*loadAgeUnit, values[1]/2, values[2]*loadPercentUnit
		s.Rejected = values[1]%2 == 1
		if values[3] > 0 {
			s.Latency = time.Duration(float64(minPackedLatency) * math.Exp(float64(values[3]-1)/latencySteps))
		}
		samples = append(samples, s)
	}
	return samples, nil
}
