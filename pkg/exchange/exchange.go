package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// Peer is another instance.
type Peer struct {
	Instance   string
	DataCentre string
	Region     string
	// Address is IP:PORT of its exchange socket.
	Address string
	// SameRegion is set for peers in this instance's region. Other peers get fewer messages, because the link between
	// regions is paid by volume.
	SameRegion bool
	// Forwards is set for peers that may forward messages to all instances of their region.
	Forwards bool
}

// IsRegion reports whether a recipient stands for all instances of its region.
func (p *Peer) IsRegion() bool {
	return p.Instance == ""
}

// Options are the parameters of Listen.
type Options struct {
	Instance string
	// Address is IP:PORT to listen on.
	Address string
	// Conn sends and receives the datagrams; nil opens a socket at Address.
	Conn net.PacketConn
	// Peers returns all other instances.
	Peers func() []Peer
	// Holder returns the instance that places models, or an empty string if there is none.
	Holder func() string
	// NeedsUpdates reports whether SendUpdate also sends to a peer while this instance is not the holder. If it is nil,
	// only the holder sends updates.
	NeedsUpdates func(to Peer) bool
	// Compose adds this instance's state to a message for a peer, or for all instances of a region (Peer.IsRegion).
	Compose func(m *Message, to Peer, info SendInfo)
	// Receive handles a message of another instance.
	Receive func(m *Message, now time.Time)
	// Sent is told the size of each datagram that was sent; nil if nobody wants to know.
	Sent func(to Peer, reason Reason, bytes int)
	Log  *zap.Logger
}

const (
	// sameRegionInterval and otherRegionInterval are the times between regular messages to a peer of the same and of
	// another region, for up to baselinePeers peers. With more peers they grow in proportion, so that the number of
	// messages that an instance sends per second grows no further.
	sameRegionInterval  = 200 * time.Millisecond
	otherRegionInterval = time.Second
	baselinePeers       = 15
	// maxInterval bounds the growth, because older state is of no use.
	maxInterval = 2 * time.Second
	// minEarlyInterval is the minimum time between early messages for up to baselinePeers peers. With more peers it
	// grows in proportion, so that neither the number of early messages that the holder sends per second nor the number
	// that it receives grows further.
	minEarlyInterval = 20 * time.Millisecond
)

// Reason is why a message is sent.
type Reason int

// All messages but the regular ones are early messages. An early message carries only the state that its reason names.
const (
	// ReasonRegular messages carry the sender's state, which replaces the state that the recipient received before.
	ReasonRegular Reason = iota
	// ReasonWaitingDemand messages report to the holder for which models and adapters requests are waiting.
	ReasonWaitingDemand
	// ReasonUpdate messages report recent changes. The holder reports those of the models and adapters at endpoints and
	// the loads in progress, a relay those of the entries in the store.
	ReasonUpdate
	// ReasonCrash messages report to all that an endpoint crashed under prompt parts.
	ReasonCrash
	// ReasonDirect messages are sent by Send, to one instance.
	ReasonDirect
	// ReasonForward messages are those of instances of other regions that this one forwards.
	ReasonForward
)

// Reasons lists all reasons.
var Reasons = []Reason{ReasonRegular, ReasonWaitingDemand, ReasonUpdate, ReasonCrash, ReasonDirect, ReasonForward}

// toldMoreToHolder reports whether messages of a reason have state for the holder that others do not get.
func (r Reason) toldMoreToHolder() bool {
	return r == ReasonRegular || r == ReasonWaitingDemand
}

// String returns the reason's name for logs.
func (r Reason) String() string {
	switch r {
	case ReasonRegular:
		return "regular"
	case ReasonWaitingDemand:
		return "waiting demand"
	case ReasonUpdate:
		return "update"
	case ReasonCrash:
		return "crash"
	case ReasonDirect:
		return "direct"
	case ReasonForward:
		return "forward"
	default:
		return "unknown"
	}
}

// SendInfo describes a message to be composed.
type SendInfo struct {
	// ToHolder is set if the recipient is the instance that places models.
	ToHolder bool
	Reason   Reason
	// Interval is the time between two regular messages to the peer, or the minimum time between two early ones.
	Interval time.Duration
}

// Exchange sends this instance's messages to its peers and receives theirs.
type Exchange struct {
	options Options
	conn    net.PacketConn
	started int64
	// sendMu orders messages: a recipient drops one that overtakes another.
	sendMu   sync.Mutex
	sequence int64
	// forwarderTurn counts the regular messages to other regions; used by the sending goroutine only.
	forwarderTurn int
	// demandSignal, updateSignal and crashSignal request early messages with ReasonWaitingDemand, ReasonUpdate and
	// ReasonCrash.
	demandSignal chan struct{}
	updateSignal chan struct{}
	crashSignal  chan struct{}

	mu sync.Mutex
	// lastReceived maps each instance to its newest accepted message.
	lastReceived map[string]receivedMessage
}

type receivedMessage struct {
	started    int64
	sequence   int64
	receivedAt time.Time
}

// Listen opens the socket; Run sends and receives on it.
func Listen(o Options) (*Exchange, error) {
	if o.Conn == nil {
		conn, err := listenUDP(o.Address)
		if err != nil {
			return nil, err
		}
		o.Conn = conn
	}
	return &Exchange{
		options:      o,
		conn:         o.Conn,
		started:      time.Now().UnixMilli(),
		demandSignal: make(chan struct{}, 1),
		updateSignal: make(chan struct{}, 1),
		crashSignal:  make(chan struct{}, 1),
		lastReceived: make(map[string]receivedMessage),
	}, nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "exchange address %q", address)
	}
	conn, err := net.ListenUDP("udp4", resolved)
	return conn, errors.Wrap(err, "listen for exchange")
}

// ReportWaitingDemand requests an early message to the holder about the models and adapters for which requests are
// waiting. Requests made before it is sent are merged into one message.
func (e *Exchange) ReportWaitingDemand() {
	notify(e.demandSignal)
}

// SendUpdate requests an early message with recent changes, and is merged like ReportWaitingDemand. The holder sends it
// to all peers, any other instance to those for which Options.NeedsUpdates is true.
func (e *Exchange) SendUpdate() {
	notify(e.updateSignal)
}

// ReportCrash requests an early message to all peers about a crash, and is merged like ReportWaitingDemand.
func (e *Exchange) ReportCrash() {
	notify(e.crashSignal)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends and receives until the context ends, and then closes the socket.
func (e *Exchange) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	tasks.Go(e.receive)
	e.send(ctx)
	if err := e.conn.Close(); err != nil {
		e.options.Log.Debug("close exchange socket", zap.Error(err))
	}
	tasks.Wait()
}

func (e *Exchange) send(ctx context.Context) {
	timer := time.NewTimer(sameRegionInterval)
	defer timer.Stop()
	var lastOtherRegions time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.demandSignal:
			e.sendEarly(ctx, ReasonWaitingDemand)
		case <-e.updateSignal:
			e.sendEarly(ctx, ReasonUpdate)
		case <-e.crashSignal:
			e.sendEarly(ctx, ReasonCrash)
		case now := <-timer.C:
			peers := e.options.Peers()
			otherRegions := now.Sub(lastOtherRegions) >= scaledInterval(otherRegionInterval, len(peers))
			if otherRegions {
				lastOtherRegions = now
				e.forwarderTurn++
			}
			e.sendToPeers(peers, ReasonRegular, otherRegions)
			timer.Reset(scaledInterval(sameRegionInterval, len(peers)))
		}
	}
}

// sendEarly sends early messages and waits for the minimum time before the next ones.
func (e *Exchange) sendEarly(ctx context.Context, reason Reason) {
	peers := e.options.Peers()
	e.sendToPeers(peers, reason, false)
	timer := time.NewTimer(scaledInterval(minEarlyInterval, len(peers)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// messageInterval returns the time between messages of a reason to a peer.
func messageInterval(reason Reason, sameRegion bool, peers int) time.Duration {
	switch {
	case reason != ReasonRegular:
		return scaledInterval(minEarlyInterval, peers)
	case sameRegion:
		return scaledInterval(sameRegionInterval, peers)
	default:
		return scaledInterval(otherRegionInterval, peers)
	}
}

// scaledInterval returns the time between messages for a number of peers; base applies to baselinePeers and fewer.
func scaledInterval(base time.Duration, peers int) time.Duration {
	return min(base*time.Duration(max(peers, baselinePeers))/baselinePeers, maxInterval)
}

// sendToPeers sends a message to each recipient among the peers. Instances of another region get it by forwarders, but for
// the holder, whose messages have more.
func (e *Exchange) sendToPeers(peers []Peer, reason Reason, otherRegions bool) {
	holder := e.options.Holder()
	forwarders := e.forwarders(peers, time.Now())
	regions := make(map[string]bool)
	for _, peer := range peers {
		if !e.isRecipient(peer, holder, reason, otherRegions) {
			continue
		}
		if forwarders[peer.Region] != nil && (peer.Instance != holder || !reason.toldMoreToHolder()) {
			regions[peer.Region] = true
			continue
		}
		info := SendInfo{ToHolder: peer.Instance == holder, Reason: reason, Interval: messageInterval(reason, peer.SameRegion, len(peers))}
		e.logUnsent(peer, reason, e.sendTo(peer, info))
	}
	for region := range regions {
		info := SendInfo{Reason: reason, Interval: messageInterval(reason, false, len(peers))}
		e.sendToRegion(Peer{Region: region}, e.chooseForwarders(forwarders[region]), info)
	}
}

// logUnsent logs an error, if there is one, of a message that was not sent.
func (e *Exchange) logUnsent(to Peer, reason Reason, err error) {
	if err == nil {
		return
	}
	level := zap.DebugLevel
	if errors.Is(err, ErrTooLarge) {
		level = zap.WarnLevel
	}
	e.options.Log.Log(level, "exchange message not sent", zap.String("peer", to.Instance), zap.String("region", to.Region),
		zap.Stringer("reason", reason), zap.Error(err))
}

// isRecipient reports whether a peer gets a message. Regular messages go to peers of the same region, and to all peers
// if otherRegions is set.
func (e *Exchange) isRecipient(peer Peer, holder string, reason Reason, otherRegions bool) bool {
	switch reason {
	case ReasonWaitingDemand:
		return peer.Instance == holder
	case ReasonCrash:
		return true
	case ReasonUpdate:
		return holder == e.options.Instance || e.options.NeedsUpdates != nil && e.options.NeedsUpdates(peer)
	default:
		return peer.SameRegion || otherRegions
	}
}

func (e *Exchange) sendTo(peer Peer, info SendInfo) error {
	return e.sendMessage(info.Reason, []Peer{peer}, false, func(m *Message) { e.options.Compose(m, peer, info) })
}

// Send sends one message to a peer at once. The function compose adds the state; it must not call Send.
func (e *Exchange) Send(peer Peer, compose func(m *Message)) error {
	return e.sendMessage(ReasonDirect, []Peer{peer}, false, compose)
}

// sendMessage sends one message, the same to all given peers. If forward is set, they forward it to their region.
func (e *Exchange) sendMessage(reason Reason, to []Peer, forward bool, compose func(m *Message)) error {
	e.sendMu.Lock()
	defer e.sendMu.Unlock()
	e.sequence++
	m := Message{Instance: e.options.Instance, Started: e.started, Sequence: e.sequence}
	compose(&m)
	data, err := Encode(&m)
	if err != nil {
		return err
	}
	if forward {
		data = append([]byte{forwardMark}, data...)
	}
	for _, peer := range to {
		err = errors.CombineErrors(err, e.write(peer, reason, data))
	}
	return err
}

// write sends one datagram.
func (e *Exchange) write(to Peer, reason Reason, data []byte) error {
	address, err := net.ResolveUDPAddr("udp4", to.Address)
	if err != nil {
		return err
	}
	_, err = e.conn.WriteTo(data, address)
	if err == nil && e.options.Sent != nil {
		e.options.Sent(to, reason, len(data))
	}
	return err
}

func (e *Exchange) receive() {
	buffer := make([]byte, maxMessageBytes+2)
	for {
		n, _, err := e.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.options.Log.Debug("exchange message not received", zap.Error(err))
			continue
		}
		data, forward := cutForwardMark(buffer[:n])
		if forward {
			e.forward(data)
		}
		m, err := Decode(data)
		if err != nil {
			e.options.Log.Info("exchange message dropped", zap.Error(err))
			continue
		}
		if now := time.Now(); m.Instance != e.options.Instance && e.acceptInOrder(m, now) {
			e.options.Receive(m, now)
		}
	}
}

// acceptInOrder records a message and returns true if it is the first of its instance, if it is newer than the last
// accepted one, or if it has another start time and the last accepted one was received restartGap ago or earlier.
// Otherwise it returns false. An accepted message also removes the records of instances from which no message was
// accepted for 20 times stateMaxAge.
func (e *Exchange) acceptInOrder(m *Message, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.lastReceived[m.Instance]
	restarted := m.Started != last.started && now.Sub(last.receivedAt) >= restartGap
	if known && !restarted && !newer(m, last.started, last.sequence) {
		return false
	}
	e.lastReceived[m.Instance] = receivedMessage{started: m.Started, sequence: m.Sequence, receivedAt: now}
	for instance, received := range e.lastReceived {
		if now.Sub(received.receivedAt) > 20*stateMaxAge {
			delete(e.lastReceived, instance)
		}
	}
	return true
}
