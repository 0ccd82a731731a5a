package peer

import (
	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
)

// buildMessage builds the message for a peer. A peer in the own data centre receives the load of this instance; a peer
// in another one receives the sum of this data centre. An empty id stands for an unknown peer, which receives no load.
// The message omits the identity if the peer's last message shows that it knows this incarnation.
func (n *Node) buildMessage(id string) *peerv1.ExchangeRequest {
	presence := n.Local.Presence().toProto(n.Self)
	known := n.Table.All()
	version := n.Table.Version()
	to, _ := n.Table.Find(id)

	n.mu.Lock()
	defer n.mu.Unlock()
	message := &peerv1.ExchangeRequest{Presence: presence}
	state := n.peerStateOf(id)
	if state.knownEpoch != presence.Epoch {
		presence.Identity = n.Self.toProto()
	}
	if state.sentTableVersion != version {
		message.KnownPeers = identities(known)
	}
	if id == "" {
		return message
	}
	state.sentTableVersion = version
	message.KnownEpoch = to.Identity.epoch()
	message.Acknowledgements = n.loadReceiver.acknowledgements(id)
	if to.Identity.DataCentre != n.Self.DataCentre {
		message.Loads = []*peerv1.LoadState{n.dataCentreLoad.message(state.acknowledged[n.dataCentreLoad.source], n.Now())}
		return message
	}
	message.Loads = append(message.Loads, n.ownLoad.message(state.acknowledged[n.ownLoad.source], n.Now()))
	if n.receivesDemand(id) {
		message.Loads = append(message.Loads, n.ownDemand.message(state.acknowledged[n.ownDemand.source], n.Now()))
	}
	for source, e := range n.forwardedLoads {
		message.Loads = append(message.Loads, e.message(state.acknowledged[source], n.Now()))
	}
	return message
}

func (n *Node) peerStateOf(id string) *peerState {
	state := n.peerStates[id]
	if state == nil {
		state = &peerState{acknowledged: make(map[string]acknowledgement)}
		n.peerStates[id] = state
	}
	return state
}

func identities(peers []Peer) []*peerv1.Identity {
	list := make([]*peerv1.Identity, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.Identity.toProto())
	}
	return list
}

// exchangeMessage is a request or a response of the exchange.
type exchangeMessage interface {
	GetPresence() *peerv1.Presence
	GetLoads() []*peerv1.LoadState
	GetAcknowledgements() []*peerv1.Acknowledgement
	GetKnownPeers() []*peerv1.Identity
	GetKnownEpoch() uint64
}

// applyMessage applies a message of a peer. It ignores a message without identity from an unknown incarnation. The
// reply does not confirm the epoch of that peer, which makes the peer send its identity.
func (n *Node) applyMessage(m exchangeMessage) {
	identity, ok := n.identify(m.GetPresence())
	if !ok {
		return
	}
	n.Table.RecordExchange(identity, presenceFromProto(m.GetPresence()))
	for _, k := range m.GetKnownPeers() {
		n.Table.RecordMention(identityFromProto(k))
	}
	for _, update := range n.applyLoads(identity, m) {
		n.Sink.SetLoad(update.source, update.load)
	}
	n.Announcer.Announce(identity.InstanceID, m.GetPresence().GetConfigRevision())
}

// identify returns the identity of the sender, and false when it is unknown. It resets the state of a peer with a new
// incarnation.
func (n *Node) identify(presence *peerv1.Presence) (Identity, bool) {
	id := presence.GetInstanceId()
	if id == "" || id == n.Self.InstanceID {
		return Identity{}, false
	}
	known, found := n.Table.Find(id)
	if found && known.Identity.epoch() == presence.GetEpoch() {
		return known.Identity, true
	}
	if presence.GetIdentity() == nil {
		return Identity{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peerStates, id)
	return identityFromProto(presence.GetIdentity()), true
}

type loadUpdate struct {
	source string
	load   Load
}

// applyLoads records the acknowledgements of a message and merges its loads. It returns the merged loads.
func (n *Node) applyLoads(sender Identity, message exchangeMessage) []loadUpdate {
	acks := message.GetAcknowledgements()
	n.mu.Lock()
	defer n.mu.Unlock()
	state := n.peerStateOf(sender.InstanceID)
	state.knownEpoch = message.GetKnownEpoch()
	state.acknowledged = make(map[string]acknowledgement, len(acks))
	for _, a := range acks {
		state.acknowledged[a.GetSource()] = acknowledgement{epoch: a.GetEpoch(), sequence: a.GetSequence()}
	}
	var updates []loadUpdate
	for _, m := range message.GetLoads() {
		if s := m.GetSource(); s == n.ownLoad.source || s == n.ownDemand.source || s == n.dataCentreLoad.source {
			continue
		}
		if load, ok := n.loadReceiver.apply(sender.InstanceID, m); ok {
			updates = append(updates, loadUpdate{source: m.GetSource(), load: load})
		}
	}
	return updates
}

func (n *Node) idOfAddress(address string) string {
	for _, p := range n.Table.All() {
		if p.Identity.Address == address {
			return p.Identity.InstanceID
		}
	}
	return ""
}

// resetSent makes the next message to the peer include the identity and the known peers again, since the last message
// may be lost.
func (n *Node) resetSent(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := n.peerStateOf(id)
	state.sentTableVersion = 0
	state.knownEpoch = 0
}
