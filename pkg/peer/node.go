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
	// dataCentrePrefix is the prefix of a source that is the sum over a data centre.
	dataCentrePrefix = "dc:"
	// DemandSourcePrefix is the prefix of a source with the arrivals of an instance.
	DemandSourcePrefix = "demand:"
	// demandReceivers is the number of instances, in relay order, that receive arrivals when there are more than
	// fullRatePeers peers. It covers the instances that try to acquire placement leases and one that can replace them.
	demandReceivers = 3
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
	// fullRatePeers is the number of peers up to which the configured interval is used. Above it the interval grows in
	// proportion, which keeps the traffic of an instance constant. With the 27 peers of the design size an exchange of
	// 1.2 kB every 2.25 s is 15 kB/s.
	fullRatePeers = 12
	// fullRateDataCentres is the number of other data centres up to which every exchange carries a new sum of the own one.
	fullRateDataCentres = 2
	// seedInterval is the interval between exchanges with a seed address that does not belong to a live peer.
	seedInterval = 3 * time.Second
	// minFailureWait is the minimum wait after a failed exchange.
	minFailureWait = time.Second
)

// LocalState is the state that this instance sends to peers.
type LocalState interface {
	Presence() Presence
	Load() Load
}

// Announcer receives the configuration revisions that peers have in effect.
type Announcer interface {
	Announce(peer string, revision int64)
	// Forget drops the announcement of a peer that was removed because it was silent for a long time.
	Forget(peer string)
}

// ControlMeter counts the bytes of exchanges with other regions as control traffic. Calls must leave capacity for it on
// the link between regions.
type ControlMeter interface {
	ConsumeControl(bytes int)
}

// Dialer returns the client for a peer address.
type Dialer func(address string) peerv1connect.PeerServiceClient

// Options configure a Node.
type Options struct {
	Self      Identity
	Seeds     []string
	Interval  time.Duration
	Local     LocalState
	Sink      LoadSink
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

	mu             sync.Mutex
	ownLoad        *deltaEncoder
	ownDemand      *deltaEncoder
	dataCentreLoad *deltaEncoder
	// dataCentreLoadAt is when the sum of the data centre was last updated.
	dataCentreLoadAt time.Time
	forwardedLoads   map[string]*deltaEncoder
	loadReceiver     *loadReceiver
	peerStates       map[string]*peerState
	tasks            map[string]context.CancelFunc
}

// peerState records what one peer has received from this instance.
type peerState struct {
	// acknowledged maps each source to the peer's last acknowledgement.
	acknowledged map[string]acknowledgement
	// sentTableVersion is the version of the table whose peers were last sent.
	sentTableVersion uint64
	// knownEpoch is the epoch of this instance that the peer knows.
	knownEpoch uint64
}

// NewNode returns a node; Run starts it.
func NewNode(options Options) *Node {
	if options.Now == nil {
		options.Now = time.Now
	}
	epoch := options.Self.epoch()
	n := &Node{
		Options:        options,
		Table:          NewTable(options.Self, options.Now),
		ownDemand:      newDeltaEncoder(DemandSourcePrefix+options.Self.InstanceID, epoch),
		ownLoad:        newDeltaEncoder(options.Self.InstanceID, epoch),
		dataCentreLoad: newDeltaEncoder(dataCentrePrefix+options.Self.DataCentre, epoch),
		forwardedLoads: make(map[string]*deltaEncoder),
		loadReceiver:   newLoadReceiver(options.Now),
		peerStates:     make(map[string]*peerState),
		tasks:          make(map[string]context.CancelFunc),
	}
	n.ownLoad.tolerance = &dataCentreTolerance
	n.dataCentreLoad.tolerance = &interDataCentreTolerance
	return n
}

// Run refreshes the local state and runs one goroutine for each called peer until the context ends.
func (n *Node) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for _, address := range n.Seeds {
		group.Go(func() { n.exchangeWithSeed(ctx, address) })
	}
	for ctx.Err() == nil {
		n.Refresh()
		n.updateTasks(ctx, &group)
		_ = timing.Sleep(ctx, n.Interval)
	}
}

// Refresh updates the loads to send from the local state and removes silent sources and peers.
func (n *Node) Refresh() {
	local := n.Local.Load()
	n.mu.Lock()
	ownLoad, arrivals := local.split()
	n.ownLoad.update(ownLoad)
	n.ownDemand.update(arrivals)
	n.updateDataCentreLoad(ownLoad)
	n.updateForwardedLoads()
	silent := n.loadReceiver.expire()
	n.mu.Unlock()
	for _, source := range silent {
		n.Sink.RemoveLoad(source)
	}
	for _, id := range n.Table.RemoveSilent() {
		n.Announcer.Forget(id)
	}
	n.Scope.Gauge("peers_live").Update(float64(len(n.Table.Live())))
}

// updateDataCentreLoad updates the sum of the data centre. Every instance receives the sums of all other data centres,
// so each sum is updated less often when there are more of them.
func (n *Node) updateDataCentreLoad(own Load) {
	others := len(n.Table.DataCentres())
	wait := n.exchangeInterval() * time.Duration(max(1, others-1))
	// A sum that is due within half an interval is updated now.
	if others > fullRateDataCentres && n.Now().Sub(n.dataCentreLoadAt)+n.exchangeInterval()/2 < wait {
		return
	}
	n.dataCentreLoadAt = n.Now()
	n.dataCentreLoad.update(n.loadReceiver.sum(own))
}

// updateForwardedLoads updates the sums of other data centres that this instance forwards. It forwards only sums that
// it receives directly from the other data centre.
func (n *Node) updateForwardedLoads() {
	for source, s := range n.loadReceiver.sources {
		if !strings.HasPrefix(source, dataCentrePrefix) || n.inOwnDataCentre(s.sender) {
			continue
		}
		e := n.forwardedLoads[source]
		if e == nil {
			e = newDeltaEncoder(source, n.Self.epoch())
			n.forwardedLoads[source] = e
		}
		e.update(s.load)
	}
	for source := range n.forwardedLoads {
		s := n.loadReceiver.sources[source]
		if s == nil || !s.reported || n.inOwnDataCentre(s.sender) {
			delete(n.forwardedLoads, source)
		}
	}
}

func (n *Node) inOwnDataCentre(instanceID string) bool {
	p, known := n.Table.Find(instanceID)
	return known && p.Identity.DataCentre == n.Self.DataCentre
}

// receivesDemand reports whether an instance of the own data centre receives arrivals. Up to fullRatePeers peers all
// do, so that each instance can answer operators' queries completely.
func (n *Node) receivesDemand(id string) bool {
	return n.Table.liveLocalPeers() <= fullRatePeers || n.Table.relayPositionOf(id) < demandReceivers
}

// exchangeInterval returns the interval between exchanges, which grows with the number of peers in the data centre.
func (n *Node) exchangeInterval() time.Duration {
	peers := n.Table.liveLocalPeers()
	if peers <= fullRatePeers {
		return n.Interval
	}
	return n.Interval * time.Duration(peers) / fullRatePeers
}

// updateTasks starts a goroutine for each new peer to call and stops those of peers that are no longer called. Within a
// data centre the instance with the lower id calls the other. Between data centres the contact of the data centre with
// the lower name calls the contact of the other.
func (n *Node) updateTasks(ctx context.Context, group *conc.WaitGroup) {
	desired := make(map[string]func(context.Context))
	for _, p := range n.Table.All() {
		id := p.Identity.InstanceID
		if p.Identity.DataCentre == n.Self.DataCentre && n.Self.InstanceID < id {
			desired["instance "+id] = func(ctx context.Context) { n.exchangeWithInstance(ctx, id) }
		}
	}
	for _, name := range n.Table.DataCentres() {
		if n.Self.DataCentre < name && n.Table.IsContact(name) {
			desired["data centre "+name] = func(ctx context.Context) { n.exchangeWithDataCentre(ctx, name) }
		}
	}
	for key, cancel := range n.tasks {
		if desired[key] == nil {
			cancel()
			delete(n.tasks, key)
		}
	}
	for key, run := range desired {
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
		wait := n.exchangeInterval()
		if p, known := n.Table.Find(id); known {
			if n.exchangeLogged(ctx, p.Identity.Address) != nil {
				wait = max(wait, minFailureWait)
			}
		}
		_ = timing.Sleep(ctx, wait)
	}
}

func (n *Node) exchangeWithDataCentre(ctx context.Context, name string) {
	attempt := 0
	for ctx.Err() == nil {
		wait := n.exchangeInterval()
		if p, known := n.Table.Contact(name, attempt); known {
			if n.exchangeLogged(ctx, p.Identity.Address) != nil {
				attempt++
				wait = max(wait, minFailureWait)
			}
		}
		_ = timing.Sleep(ctx, wait)
	}
}

// exchangeWithSeed exchanges with a seed address while no live peer has that address.
func (n *Node) exchangeWithSeed(ctx context.Context, address string) {
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

// Exchange performs one exchange with the peer at the address.
func (n *Node) Exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	id := n.idOfAddress(address)
	request := n.buildMessage(id)
	response, err := n.Dial(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		n.resetSent(id)
		return err
	}
	n.applyMessage(response.Msg)
	if p, _ := n.Table.Find(id); id != "" && p.Identity.Region != n.Self.Region {
		n.Control.ConsumeControl(proto.Size(request) + proto.Size(response.Msg))
	}
	return nil
}
