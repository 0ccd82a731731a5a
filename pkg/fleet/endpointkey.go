package fleet

import "github.com/cespare/xxhash/v2"

// EndpointKey is a hash that stands for an endpoint's id in messages between instances. It takes a third of the bytes of
// an id. The probability that any two of 5,500 endpoints share a key is 0.4 percent; each of the two then counts as
// having the work and the prompt parts of both.
type EndpointKey uint32

// EndpointKeyOf returns the key of an endpoint id.
func EndpointKeyOf(id string) EndpointKey {
	return EndpointKey(xxhash.Sum64String(id))
}
