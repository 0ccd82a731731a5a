package scheduling

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
)

// Distance classifies data centres by their distance from this instance.
type Distance int

const (
	// SameDataCentre is this instance's data centre.
	SameDataCentre Distance = iota
	// SameRegion is another data centre of this instance's region.
	SameRegion
	// OtherRegion is any data centre behind the region link.
	OtherRegion
)

// Topology maps data centres to their distance from this instance.
type Topology interface {
	// Distance returns OtherRegion for an unknown data centre.
	Distance(dataCentre string) Distance
}

// SnapshotTopology implements Topology with the declared regions. It is safe for concurrent use.
type SnapshotTopology struct {
	dataCentre string
	snapshot   atomic.Pointer[config.Snapshot]
}

// NewSnapshotTopology returns the topology for an instance in the given data centre.
func NewSnapshotTopology(dataCentre string) *SnapshotTopology {
	return &SnapshotTopology{dataCentre: dataCentre}
}

// Apply sets the snapshot.
func (t *SnapshotTopology) Apply(snapshot *config.Snapshot) {
	t.snapshot.Store(snapshot)
}

// Distance implements Topology.
func (t *SnapshotTopology) Distance(dataCentre string) Distance {
	if dataCentre == t.dataCentre {
		return SameDataCentre
	}
	snapshot := t.snapshot.Load()
	if snapshot == nil {
		return OtherRegion
	}
	region := snapshot.Region(dataCentre)
	if region != "" && region == snapshot.Region(t.dataCentre) {
		return SameRegion
	}
	return OtherRegion
}

// DistanceCount is the number of values of Distance.
const DistanceCount = int(OtherRegion) + 1

const (
	// linkBurstDuration is the capacity of the bucket, expressed as sending time at the full rate.
	linkBurstDuration = time.Second
	// controlReserveFraction is the fraction of the burst that only control traffic may use, so that calls never delay
	// it.
	controlReserveFraction = 0.2
	// responseBytesPerToken is the size of a streamed output token with its event framing.
	responseBytesPerToken = 200
)

// LinkBudget is a token bucket of bytes on the region link. It is safe for concurrent use.
type LinkBudget struct {
	mu             sync.Mutex
	bytesPerSecond float64
	availableBytes float64
	refilledAt     time.Time
}

// NewLinkBudget returns a full bucket. A rate of zero or less means an unlimited link.
func NewLinkBudget(bitsPerSecond int64) *LinkBudget {
	b := &LinkBudget{refilledAt: time.Now()}
	b.SetRate(bitsPerSecond)
	b.availableBytes = b.burstBytes()
	return b
}

// SetRate sets this instance's fraction of the declared capacity, in bits per second.
func (b *LinkBudget) SetRate(bitsPerSecond int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.bytesPerSecond = float64(bitsPerSecond) / 8
	b.availableBytes = min(b.availableBytes, b.burstBytes())
}

// CanSend reports whether a call of the given size may be sent now. A call larger than the burst may be sent when the
// bucket is full, since it could never be sent otherwise.
func (b *LinkBudget) CanSend(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytesPerSecond <= 0 {
		return true
	}
	b.refill()
	reserve := controlReserveFraction * b.burstBytes()
	required := min(float64(bytes), b.burstBytes()-reserve)
	return b.availableBytes-reserve >= required
}

// Consume deducts the bytes of a call. A negative number returns bytes to the bucket. A negative balance delays later
// calls.
func (b *LinkBudget) Consume(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.availableBytes = min(b.burstBytes(), b.availableBytes-float64(bytes))
}

// ConsumeControl deducts bytes of control traffic, which is never delayed.
func (b *LinkBudget) ConsumeControl(bytes int) {
	b.Consume(bytes)
}

func (b *LinkBudget) burstBytes() float64 {
	return b.bytesPerSecond * linkBurstDuration.Seconds()
}

func (b *LinkBudget) refill() {
	now := time.Now()
	b.availableBytes = min(b.burstBytes(), b.availableBytes+now.Sub(b.refilledAt).Seconds()*b.bytesPerSecond)
	b.refilledAt = now
}

// linkBytes returns the expected bytes of a call in the busier direction of the link.
func linkBytes(request *Request) int {
	return max(request.Bytes, request.OutputTokens*responseBytesPerToken)
}

// Link charges calls to other regions to the budget of the region link. A nil Link charges nothing.
type Link struct {
	Topology Topology
	Budget   *LinkBudget
}

// Charge deducts the expected bytes of a call to the endpoint and returns their number.
func (l *Link) Charge(request *Request, state *endpoints.State) int {
	if l == nil || l.Topology.Distance(state.Endpoint.DataCentre) < OtherRegion {
		return 0
	}
	chargedBytes := linkBytes(request)
	l.Budget.Consume(chargedBytes)
	return chargedBytes
}

// Settle corrects a charge to the number of output tokens that were sent.
func (l *Link) Settle(chargedBytes int, request *Request, outputTokens int) {
	if l == nil || chargedBytes == 0 {
		return
	}
	l.Budget.Consume(max(request.Bytes, outputTokens*responseBytesPerToken) - chargedBytes)
}
