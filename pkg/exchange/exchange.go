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
	// Address is IP:PORT of its exchange socket.
	Address string
	// Near peers are in this instance's region; others are told less often, because that link is paid by volume.
	Near bool
}

// Options are the parts of an Exchange.
type Options struct {
	Instance string
	// Address is IP:PORT to listen on.
	Address string
	// Peers returns the other instances.
	Peers func() []Peer
	// Holder names the instance that places models, or is empty.
	Holder func() string
	// TellEarly tells whether a peer relies on this instance's news though neither is the holder; nil means never.
	TellEarly func(to Peer) bool
	// Compose fills in this instance's state for a peer.
	Compose func(m *Message, to Peer, kind Kind)
	// Receive takes over another instance's message.
	Receive func(m *Message, now time.Time)
	Log     *zap.Logger
}

const (
	// nearInterval and farInterval are the times between messages to peers of the same and of other regions, as long as
	// there are no more than fewPeers; they grow in proportion, so that an instance's messages in all grow no further.
	nearInterval = 200 * time.Millisecond
	farInterval  = time.Second
	fewPeers     = 15
	// maxInterval bounds the growth: older state would be of no use.
	maxInterval = 2 * time.Second
	// urgentGap is the least time between early messages as long as there are no more than fewPeers; it grows in proportion,
	// so that neither the early messages of the instance that places models nor those which it gets in all grow further.
	urgentGap = 20 * time.Millisecond
)

// Reason tells why messages are sent.
type Reason int

// The reasons. Early messages, which are all but the regular ones, carry only what they are sent for.
const (
	// Regular messages replace the former state.
	Regular Reason = iota
	// Ask tells the holder what requests wait for.
	Ask
	// News tells what has just changed.
	News
)

// Kind tells what a message is for.
type Kind struct {
	// ToHolder is set for the instance that places models.
	ToHolder bool
	Reason   Reason
	// Interval is the usual time between two regular messages to the peer, or the least between two early ones.
	Interval time.Duration
}

// Exchange sends and receives messages.
type Exchange struct {
	options  Options
	conn     *net.UDPConn
	started  int64
	sequence int64
	// ask and news are the two reasons for early messages.
	ask  chan struct{}
	news chan struct{}

	mu   sync.Mutex
	seen map[string]seenMessage
}

type seenMessage struct {
	started  int64
	sequence int64
	at       time.Time
}

// Listen opens the socket.
func Listen(o Options) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "exchange address %q", o.Address)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for exchange")
	}
	return &Exchange{
		options: o,
		conn:    conn,
		started: time.Now().UnixMilli(),
		ask:     make(chan struct{}, 1),
		news:    make(chan struct{}, 1),
		seen:    make(map[string]seenMessage),
	}, nil
}

// AskHolder tells the instance that places models early what requests wait for.
func (e *Exchange) AskHolder() {
	signal(e.ask)
}

// TellNews tells early what has just changed: the holder tells all, others tell those that rely on them.
func (e *Exchange) TellNews() {
	signal(e.news)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends and receives until the context ends.
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
	timer := time.NewTimer(nearInterval)
	defer timer.Stop()
	var lastFar time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.ask:
			e.sendEarly(ctx, Ask)
		case <-e.news:
			e.sendEarly(ctx, News)
		case now := <-timer.C:
			peers := e.options.Peers()
			far := now.Sub(lastFar) >= interval(farInterval, len(peers))
			if far {
				lastFar = now
			}
			e.sendAll(peers, Regular, far)
			timer.Reset(interval(nearInterval, len(peers)))
		}
	}
}

// sendEarly sends early messages and waits until the next ones may follow.
func (e *Exchange) sendEarly(ctx context.Context, reason Reason) {
	peers := e.options.Peers()
	e.sendAll(peers, reason, false)
	gap := time.NewTimer(interval(urgentGap, len(peers)))
	defer gap.Stop()
	select {
	case <-ctx.Done():
	case <-gap.C:
	}
}

// usualInterval returns the time between messages of a kind to a peer.
func usualInterval(reason Reason, near bool, peers int) time.Duration {
	switch {
	case reason != Regular:
		return interval(urgentGap, peers)
	case near:
		return interval(nearInterval, peers)
	default:
		return interval(farInterval, peers)
	}
}

// interval returns the time between messages for a number of peers.
func interval(few time.Duration, peers int) time.Duration {
	return min(few*time.Duration(max(peers, fewPeers))/fewPeers, maxInterval)
}

// sendAll sends to the peers that a reason concerns.
func (e *Exchange) sendAll(peers []Peer, reason Reason, far bool) {
	holder := e.options.Holder()
	for _, peer := range peers {
		if !e.concerns(peer, holder, reason, far) {
			continue
		}
		kind := Kind{ToHolder: peer.Instance == holder, Reason: reason, Interval: usualInterval(reason, peer.Near, len(peers))}
		if err := e.sendTo(peer, kind); err != nil {
			e.options.Log.Debug("exchange message not sent", zap.String("peer", peer.Instance), zap.Error(err))
		}
	}
}

// concerns tells whether a peer gets a message: a regular one if it is of the region or it is time for the others, too.
func (e *Exchange) concerns(peer Peer, holder string, reason Reason, far bool) bool {
	switch reason {
	case Ask:
		return peer.Instance == holder
	case News:
		return holder == e.options.Instance || e.options.TellEarly != nil && e.options.TellEarly(peer)
	default:
		return peer.Near || far
	}
}

func (e *Exchange) sendTo(peer Peer, kind Kind) error {
	e.sequence++
	m := Message{Instance: e.options.Instance, Started: e.started, Sequence: e.sequence}
	e.options.Compose(&m, peer, kind)
	data, err := Encode(&m)
	if err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp4", peer.Address)
	if err != nil {
		return err
	}
	_, err = e.conn.WriteToUDP(data, address)
	return err
}

func (e *Exchange) receive() {
	buffer := make([]byte, maxMessageBytes+1)
	for {
		n, _, err := e.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.options.Log.Debug("exchange message not received", zap.Error(err))
			continue
		}
		m, err := Decode(buffer[:n])
		if err != nil {
			e.options.Log.Info("exchange message dropped", zap.Error(err))
			continue
		}
		if now := time.Now(); e.fresh(m, now) {
			e.options.Receive(m, now)
		}
	}
}

// fresh drops messages that were overtaken by newer ones of the same instance.
func (e *Exchange) fresh(m *Message, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.seen[m.Instance]
	restarted := m.Started != last.started && now.Sub(last.at) >= restartGap
	if known && !restarted && !newer(m, last.started, last.sequence) {
		return false
	}
	e.seen[m.Instance] = seenMessage{started: m.Started, sequence: m.Sequence, at: now}
	for instance, s := range e.seen {
		if now.Sub(s.at) > 20*staleAfter {
			delete(e.seen, instance)
		}
	}
	return true
}
