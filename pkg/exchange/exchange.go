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
	// TellEarly tells whether urgent news go to a peer though neither is the holder; nil means never.
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
	// urgentGap is the least time between messages that are sent early.
	urgentGap = 20 * time.Millisecond
)

// Kind tells what a message is for.
type Kind struct {
	// ToHolder messages carry demand.
	ToHolder bool
	// Urgent messages carry only what has just changed.
	Urgent bool
	// Interval is the usual time between two messages to the peer.
	Interval time.Duration
}

// Exchange sends and receives messages.
type Exchange struct {
	options  Options
	conn     *net.UDPConn
	started  int64
	sequence int64
	urgent   chan struct{}

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
		urgent:  make(chan struct{}, 1),
		seen:    make(map[string]seenMessage),
	}, nil
}

// Urge sends the next messages early.
func (e *Exchange) Urge() {
	select {
	case e.urgent <- struct{}{}:
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
		case <-e.urgent:
			e.sendAll(e.options.Peers(), true, false)
			time.Sleep(urgentGap)
		case now := <-timer.C:
			peers := e.options.Peers()
			far := now.Sub(lastFar) >= interval(farInterval, len(peers))
			if far {
				lastFar = now
			}
			e.sendAll(peers, false, far)
			timer.Reset(interval(nearInterval, len(peers)))
		}
	}
}

// NearInterval returns the time between messages to instances of the same region.
func NearInterval(instances int) time.Duration {
	return interval(nearInterval, instances)
}

// interval returns the time between messages for a number of peers.
func interval(few time.Duration, peers int) time.Duration {
	return min(few*time.Duration(max(peers, fewPeers))/fewPeers, maxInterval)
}

// sendAll sends to peers of the region, to all if it is time for that, and urgent news only to and from the holder and to
// those that rely on this instance.
func (e *Exchange) sendAll(peers []Peer, urgent, far bool) {
	holder := e.options.Holder()
	fromHolder := holder == e.options.Instance
	for _, peer := range peers {
		toHolder := peer.Instance == holder
		early := e.options.TellEarly != nil && e.options.TellEarly(peer)
		news := urgent && (toHolder || fromHolder || early)
		regular := !urgent && (peer.Near || far)
		if !news && !regular {
			continue
		}
		kind := Kind{ToHolder: toHolder, Urgent: urgent, Interval: interval(farInterval, len(peers))}
		if peer.Near {
			kind.Interval = interval(nearInterval, len(peers))
		}
		if err := e.sendTo(peer, kind); err != nil {
			e.options.Log.Debug("exchange message not sent", zap.String("peer", peer.Instance), zap.Error(err))
		}
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
