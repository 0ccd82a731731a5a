package peer

import (
	"context"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1/peerv1connect"
)

const (
	// dataCentrePrefix marks a source that is the sum over a data centre.
	dataCentrePrefix = "dc:"
	// DemandPrefix marks a source with the arrivals of an instance.
	DemandPrefix = "demand:"
	// demandReceivers is the number of instances, in relay order, that get arrivals when the mesh is larger than
	// meshPeers. It includes those that try to hold placement leases, and one that takes over from them.
	demandReceivers = 3
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
	// meshPeers is the number of peers up to which the configured interval is used; with more the interval grows in
	// proportion, so that the traffic of one instance stays the same. With the 27 peers of the design size an exchange
	// of 1.2 kB every 2.25 s is 15 kB/s.
	meshPeers = 12
	// freeDataCentres is the number of other data centres up to which each exchange carries the sum of the own one.
	freeDataCentres = 2
	// seedInterval is how often a seed address that is not a live peer is tried.
	seedInterval = 3 * time.Second
	// failureWait is the least wait after a failed exchange.
	failureWait = time.Second
)

// Local is what this instance tells others.
type Local interface {
	Presence() Presence
	Load() Load
}

// Announcer learns which configuration revisions peers have.
type Announcer interface {
	Announce(peer string, revision int64)
	// Forget drops what a peer announced, after it was silent for a long time.
	Forget(peer string)
}

// ControlMeter counts the bytes of an exchange with another region, so that calls leave room for control traffic on the
// link between regions.
type ControlMeter interface {
	TakeControl(bytes int)
}

// Dialer returns a client for a peer address.
type Dialer func(address string) peerv1connect.PeerServiceClient

// Options configure a Node.
type Options struct {
	Self      Identity
	Seeds     []string
	Interval  time.Duration
	Local     Local
	Sink      Sink
	Announcer Announcer
	Control   ControlMeter
	Dial      Dialer
	Log       *zap.Logger
	Scope     tally.Scope
	// Now is the time source; nil means time.Now.
	Now func() time.Time
}

// Node exchanges state with peers.
type Node struct {
	Options
	Table *Table

	mu     sync.Mutex
	own    *emitter
	demand *emitter
	centre *emitter
	// centreAt is when the sum of the data centre was last taken.
	centreAt time.Time
	forwards map[string]*emitter
	inbox    *inbox
	links    map[string]*link
	tasks    map[string]context.CancelFunc
}

// link is what one peer holds of this instance's sources and of its peer list.
type link struct {
	held        map[string]acknowledgement
	versionSent uint64
	// knowsEpoch is the epoch of this instance that the peer knows.
	knowsEpoch uint64
}

// NewNode returns a node; Run starts it.
func NewNode(options Options) *Node {
	if options.Now == nil {
		options.Now = time.Now
	}
	epoch := options.Self.epoch()
	n := &Node{
		Options:  options,
		Table:    NewTable(options.Self, options.Now),
		demand:   newEmitter(DemandPrefix+options.Self.InstanceID, epoch),
		own:      newEmitter(options.Self.InstanceID, epoch),
		centre:   newEmitter(dataCentrePrefix+options.Self.DataCentre, epoch),
		forwards: make(map[string]*emitter),
		inbox:    newInbox(options.Now),
		links:    make(map[string]*link),
		tasks:    make(map[string]context.CancelFunc),
	}
	n.own.tolerance = &withinDataCentre
	n.centre.tolerance = &betweenDataCentres
	return n
}

// Run refreshes the local state and keeps one goroutine per called peer until the context ends.
func (n *Node) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for _, address := range n.Seeds {
		group.Go(func() { n.contactSeed(ctx, address) })
	}
	for ctx.Err() == nil {
		n.Refresh()
		n.superviseTasks(ctx, &group)
		_ = timing.Sleep(ctx, n.Interval)
	}
}

// Refresh takes the current local state into the emitters and drops silent sources.
func (n *Node) Refresh() {
	local := n.Local.Load()
	n.mu.Lock()
	own, arrivals := local.split()
	n.own.update(own)
	n.demand.update(arrivals)
	n.updateCentre(own)
	n.updateForwards()
	silent := n.inbox.expire()
	n.mu.Unlock()
	for _, source := range silent {
		n.Sink.RemoveLoad(source)
	}
	for _, id := range n.Table.ForgetSilent() {
		n.Announcer.Forget(id)
	}
	n.Scope.Gauge("peers_live").Update(float64(len(n.Table.Live())))
}

// updateCentre takes the sum of the data centre. Every instance gets the sums of all other data centres, so with more of
// them each changes less often.
func (n *Node) updateCentre(own Load) {
	others := len(n.Table.DataCentres())
	wait := n.interval() * time.Duration(max(1, others-1))
	// A sum that is due within the current interval is taken now.
	if others > freeDataCentres && n.Now().Sub(n.centreAt)+n.interval()/2 < wait {
		return
	}
	n.centreAt = n.Now()
	n.centre.update(n.inbox.sum(own))
}

// updateForwards passes on the sums of other data centres that came from there directly.
func (n *Node) updateForwards() {
	for source, s := range n.inbox.sources {
		if !strings.HasPrefix(source, dataCentrePrefix) || n.inOwnDataCentre(s.from) {
			continue
		}
		e := n.forwards[source]
		if e == nil {
			e = newEmitter(source, n.Self.epoch())
			n.forwards[source] = e
		}
		e.update(s.load)
	}
	for source := range n.forwards {
		s := n.inbox.sources[source]
		if s == nil || !s.reported || n.inOwnDataCentre(s.from) {
			delete(n.forwards, source)
		}
	}
}

func (n *Node) inOwnDataCentre(instanceID string) bool {
	p, known := n.Table.Find(instanceID)
	return known && p.Identity.DataCentre == n.Self.DataCentre
}

// wantsDemand tells whether an instance of the own data centre gets arrivals. All do in a small mesh, so that the
// operators' queries are complete at each of them.
func (n *Node) wantsDemand(id string) bool {
	return n.Table.livePeers() <= meshPeers || n.Table.orderOf(id) < demandReceivers
}

// interval grows with the number of peers in the data centre.
func (n *Node) interval() time.Duration {
	peers := n.Table.livePeers()
	if peers <= meshPeers {
		return n.Interval
	}
	return n.Interval * time.Duration(peers) / meshPeers
}

// superviseTasks starts a goroutine for each peer that this instance calls and stops those that it no longer calls.
// Within a data centre the instance with the lower id calls; between data centres the contact of the data centre with the
// lower name calls that of the other.
func (n *Node) superviseTasks(ctx context.Context, group *conc.WaitGroup) {
	wanted := make(map[string]func(context.Context))
	for _, p := range n.Table.All() {
		id := p.Identity.InstanceID
		if p.Identity.DataCentre == n.Self.DataCentre && n.Self.InstanceID < id {
			wanted["instance "+id] = func(ctx context.Context) { n.exchangeWithInstance(ctx, id) }
		}
	}
	for _, name := range n.Table.DataCentres() {
		if n.Self.DataCentre < name && n.Table.IsContact(name) {
			wanted["data centre "+name] = func(ctx context.Context) { n.exchangeWithDataCentre(ctx, name) }
		}
	}
	for key, cancel := range n.tasks {
		if wanted[key] == nil {
			cancel()
			delete(n.tasks, key)
		}
	}
	for key, run := range wanted {
		if n.tasks[key] != nil {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		n.tasks[key] = cancel
		group.Go(func() { run(taskCtx) })
	}
}

func (n *Node) exchangeWithInstance(ctx context.Context, id string) {
	for ctx.Err() == nil {
		wait := n.interval()
		if p, known := n.Table.Find(id); known {
			if n.exchangeLogged(ctx, p.Identity.Address) != nil {
				wait = max(wait, failureWait)
			}
		}
		_ = timing.Sleep(ctx, wait)
	}
}

func (n *Node) exchangeWithDataCentre(ctx context.Context, name string) {
	attempt := 0
	for ctx.Err() == nil {
		wait := n.interval()
		if p, known := n.Table.Contact(name, attempt); known {
			if n.exchangeLogged(ctx, p.Identity.Address) != nil {
				attempt++
				wait = max(wait, failureWait)
			}
		}
		_ = timing.Sleep(ctx, wait)
	}
}

// contactSeed exchanges with a seed address as long as no live peer has that address.
func (n *Node) contactSeed(ctx context.Context, address string) {
	for ctx.Err() == nil {
		if !n.isLiveAddress(address) {
			n.exchangeLogged(ctx, address)
		}
		_ = timing.Sleep(ctx, seedInterval)
	}
}

func (n *Node) isLiveAddress(address string) bool {
	if address == n.Self.Address {
		return true
	}
	for _, p := range n.Table.Live() {
		if p.Identity.Address == address {
			return true
		}
	}
	return false
}

func (n *Node) exchangeLogged(ctx context.Context, address string) error {
	err := n.Exchange(ctx, address)
	if err != nil && ctx.Err() == nil {
		n.Scope.Counter("peer_exchange_failures").Inc(1)
		n.Log.Debug("peer exchange failed", zap.String("address", address), zap.Error(err))
	}
	return err
}

// Exchange makes one exchange with the peer at the address.
func (n *Node) Exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	id := n.idOfAddress(address)
	request := n.compose(id)
	response, err := n.Dial(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		n.forgetSent(id)
		return err
	}
	n.absorb(response.Msg)
	if p, _ := n.Table.Find(id); id != "" && p.Identity.Region != n.Self.Region {
		n.Control.TakeControl(proto.Size(request) + proto.Size(response.Msg))
	}
	return nil
}
