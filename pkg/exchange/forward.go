package exchange

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"
)

// A message to another region crosses the link to it as a datagram with a forward mark to a few instances there, and each of
// them forwards it to all others of its region. Otherwise the bytes on the link grow with the product of the numbers of
// instances at its ends.

const (
	// minForwardedPeers is the least number of instances of another region to which messages are forwarded. Fewer get them
	// directly.
	minForwardedPeers = 8
	// forwarderCopies is the number of instances to which a forwarded message is sent, so that one may fail.
	forwarderCopies = 2
	// forwarderMaxSilence is the time without a message after which an instance is not used as a forwarder, if others are
	// heard. It allows for the loss of one regular message.
	forwarderMaxSilence = 2*maxInterval + time.Second
	// forwardMark is the first byte of a datagram whose rest is to be forwarded. No message begins with it.
	forwardMark = 'F'
)

// cutForwardMark returns the message of a datagram, and whether it is to be forwarded.
func cutForwardMark(datagram []byte) (message []byte, forward bool) {
	if len(datagram) > 1 && datagram[0] == forwardMark && datagram[1] != forwardMark {
		return datagram[1:], true
	}
	return datagram, false
}

// forwarders returns the instances that may forward messages to each other region with at least minForwardedPeers
// instances: those from which messages have come recently, or else all that may. Regions without any are left out.
func (e *Exchange) forwarders(peers []Peer, now time.Time) map[string][]Peer {
	sizes := make(map[string]int)
	candidates := make(map[string][]Peer)
	for _, p := range peers {
		if p.SameRegion || p.Region == "" {
			continue
		}
		sizes[p.Region]++
		if p.Forwards {
			candidates[p.Region] = append(candidates[p.Region], p)
		}
	}
	for region, found := range candidates {
		if sizes[region] < minForwardedPeers {
			delete(candidates, region)
			continue
		}
		if heard := e.heard(found, now); len(heard) > 0 {
			found = heard
		}
		slices.SortFunc(found, func(a, b Peer) int { return cmp.Compare(a.Instance, b.Instance) })
		candidates[region] = found
	}
	return candidates
}

// heard returns the peers from which a message has come within forwarderMaxSilence.
func (e *Exchange) heard(peers []Peer, now time.Time) []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	var heard []Peer
	for _, p := range peers {
		if last, found := e.lastReceived[p.Instance]; found && now.Sub(last.receivedAt) < forwarderMaxSilence {
			heard = append(heard, p)
		}
	}
	return heard
}

// chooseForwarders returns forwarderCopies of the candidates. They change with each regular message, so that one that has
// failed loses few in a row, and not between, so that messages take the same way and do not overtake each other.
func (e *Exchange) chooseForwarders(candidates []Peer) []Peer {
	n := min(forwarderCopies, len(candidates))
	chosen := make([]Peer, 0, n)
	for i := range n {
		chosen = append(chosen, candidates[(e.forwarderTurn+i)%len(candidates)])
	}
	return chosen
}

// sendToRegion sends a message for all instances of a region to its forwarders.
func (e *Exchange) sendToRegion(region Peer, forwarders []Peer, info SendInfo) {
	err := e.sendMessage(info.Reason, forwarders, true, func(m *Message) { e.options.Compose(m, region, info) })
	e.logUnsent(region, info.Reason, err)
}

// forward sends the message of an instance of another region to all other instances of this region.
func (e *Exchange) forward(message []byte) {
	for _, peer := range e.options.Peers() {
		if !peer.SameRegion {
			continue
		}
		if err := e.write(peer, ReasonForward, message); err != nil {
			e.options.Log.Debug("exchange message not forwarded", zap.String("peer", peer.Instance), zap.Error(err))
		}
	}
}
