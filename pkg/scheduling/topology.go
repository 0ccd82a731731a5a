package scheduling

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
)

// Distance orders data centres by their distance from this instance.
type Distance int

const (
	// SameDataCentre is this instance's data centre.
	SameDataCentre Distance = iota
	// SameRegion is another data centre of this instance's region.
	SameRegion
	// OtherRegion is reached over the region link.
	OtherRegion
)

// Topology tells how far a data centre is from this instance.
type Topology interface {
	// Distance treats an unknown data centre as OtherRegion.
	Distance(dataCentre string) Distance
}

// SnapshotTopology takes the regions from the declarations. It is safe for concurrent use.
type SnapshotTopology struct {
	dataCentre string
	snapshot   atomic.Pointer[config.Snapshot]
}

// NewSnapshotTopology is for an instance in the given data centre.
func NewSnapshotTopology(dataCentre string) *SnapshotTopology {
	return &SnapshotTopology{dataCentre: dataCentre}
}

// Apply takes over a snapshot.
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

// Distances is the number of values of Distance.
const Distances = int(OtherRegion) + 1

const (
	// linkBurst is the time of link traffic that may be sent at once.
	linkBurst = time.Second
	// controlReserve is the fraction of the burst that only control traffic may use, so that calls never delay it.
	controlReserve = 0.2
	// responseBytesPerToken is the size of a streamed output token with its event framing.
	responseBytesPerToken = 200
)

// LinkBudget is a token bucket of bytes on the region link. It is safe for concurrent use.
type LinkBudget struct {
	mu             sync.Mutex
	bytesPerSecond float64
	available      float64
	updated        time.Time
}

// NewLinkBudget returns a full bucket. Zero or negative bits per second means an unlimited link.
func NewLinkBudget(bitsPerSecond int64) *LinkBudget {
	b := &LinkBudget{updated: time.Now()}
	b.SetRate(bitsPerSecond)
	b.available = b.burst()
	return b
}

// SetRate changes this instance's part of the declared capacity, in bits per second.
func (b *LinkBudget) SetRate(bitsPerSecond int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.bytesPerSecond = float64(bitsPerSecond) / 8
	b.available = min(b.available, b.burst())
}

// Has tells whether a call of the given size may be sent now. A call larger than the burst may be sent when the bucket is
// full, since it could never be sent otherwise.
func (b *LinkBudget) Has(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytesPerSecond <= 0 {
		return true
	}
	b.refill()
	reserve := controlReserve * b.burst()
	wanted := min(float64(bytes), b.burst()-reserve)
	return b.available-reserve >= wanted
}

// Take counts bytes of a call, or returns them when negative. The balance can become negative; it then delays later
// calls.
func (b *LinkBudget) Take(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.available = min(b.burst(), b.available-float64(bytes))
}

// TakeControl counts bytes of control traffic, which is never held back.
func (b *LinkBudget) TakeControl(bytes int) {
	b.Take(bytes)
}

func (b *LinkBudget) burst() float64 {
	return b.bytesPerSecond * linkBurst.Seconds()
}

func (b *LinkBudget) refill() {
	now := time.Now()
	b.available = min(b.burst(), b.available+now.Sub(b.updated).Seconds()*b.bytesPerSecond)
	b.updated = now
}

// linkBytes estimates the bytes that a call moves over the link in the busier direction.
func linkBytes(request *Request) int {
	return max(request.Bytes, request.OutputTokens*responseBytesPerToken)
}

// Link charges calls to other regions to the budget of the region link. A nil Link charges nothing.
type Link struct {
	Topology Topology
	Budget   *LinkBudget
}

// Charge takes the expected bytes of a call to the endpoint and returns them.
func (l *Link) Charge(request *Request, state *endpoints.State) int {
	if l == nil || l.Topology.Distance(state.Endpoint.DataCentre) < OtherRegion {
		return 0
	}
	bytes := linkBytes(request)
	l.Budget.Take(bytes)
	return bytes
}

// Settle corrects a charge by the number of output tokens that were sent.
func (l *Link) Settle(charged int, request *Request, outputTokens int) {
	if l == nil || charged == 0 {
		return
	}
	l.Budget.Take(max(request.Bytes, outputTokens*responseBytesPerToken) - charged)
}
