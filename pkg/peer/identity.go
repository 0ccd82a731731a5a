// Package peer implements the protocol between entry instances: membership, the periodic exchange of load and presence,
// the transfer of configuration, and claims on issued keys. An instance runs one goroutine for each peer that it calls.
package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
)

// Identity names one incarnation of an instance.
type Identity struct {
	InstanceID  string
	Incarnation string
	DataCentre  string
	Region      string
	// Address is the IP address and port of the peer listener.
	Address string
}

// epoch identifies the incarnation in load messages.
func (i Identity) epoch() uint64 {
	return xxhash.Sum64String(i.InstanceID + "/" + i.Incarnation)
}

// Seed returns a seed for random choices. It differs between instances and incarnations. This prevents instances with
// the same state from making the same choices.
func (i Identity) Seed() uint64 {
	return i.epoch()
}

func (i Identity) toProto() *peerv1.Identity {
	return &peerv1.Identity{
		InstanceId:  i.InstanceID,
		Incarnation: i.Incarnation,
		DataCentre:  i.DataCentre,
		Region:      i.Region,
		PeerAddress: i.Address,
	}
}

func identityFromProto(p *peerv1.Identity) Identity {
	return Identity{
		InstanceID:  p.GetInstanceId(),
		Incarnation: p.GetIncarnation(),
		DataCentre:  p.GetDataCentre(),
		Region:      p.GetRegion(),
		Address:     p.GetPeerAddress(),
	}
}

// Presence is the state that an instance reports about itself in each exchange.
type Presence struct {
	ConfigRevision    int64
	ConfigCommittedAt time.Time
	// StoreContactAge is the time since the last successful call to the key-value store.
	StoreContactAge time.Duration
	Draining        bool
	// ConfigBehind is how long the instance has known of a newer configuration than the one in effect.
	ConfigBehind time.Duration
}

// toProto omits the identity. The caller adds it for a receiver that does not know it.
func (p Presence) toProto(self Identity) *peerv1.Presence {
	return &peerv1.Presence{
		InstanceId:            self.InstanceID,
		Epoch:                 self.epoch(),
		ConfigRevision:        p.ConfigRevision,
		ConfigCommittedUnixMs: p.ConfigCommittedAt.UnixMilli(),
		StoreContactAgeMs:     clampMs(p.StoreContactAge),
		Draining:              p.Draining,
		ConfigBehindMs:        clampMs(p.ConfigBehind),
	}
}

func presenceFromProto(p *peerv1.Presence) Presence {
	return Presence{
		ConfigRevision:    p.GetConfigRevision(),
		ConfigCommittedAt: time.UnixMilli(p.GetConfigCommittedUnixMs()),
		StoreContactAge:   time.Duration(p.GetStoreContactAgeMs()) * time.Millisecond,
		Draining:          p.GetDraining(),
		ConfigBehind:      time.Duration(p.GetConfigBehindMs()) * time.Millisecond,
	}
}

// clampMs converts d to milliseconds and limits it to the range of uint32.
func clampMs(d time.Duration) uint32 {
	const maxMs = 1<<32 - 1
	ms := d.Milliseconds()
	switch {
	case ms < 0:
		return 0
	case ms > maxMs:
		return maxMs
	}
	return uint32(ms)
}
