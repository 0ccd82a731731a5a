package peer

import (
	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
)

// compose builds the message for a peer: the own load within the data centre, the sum of the data centre for others.
// An empty id means that the peer is not known yet; it gets no load. The identity is left out for a peer that said in
// its last message that it knows this incarnation.
func (n *Node) compose(id string) *peerv1.ExchangeRequest {
	presence := n.Local.Presence().toProto(n.Self)
	known := n.Table.All()
	version := n.Table.Version()
	to, _ := n.Table.Find(id)

	n.mu.Lock()
	defer n.mu.Unlock()
	message := &peerv1.ExchangeRequest{Presence: presence}
	l := n.linkOf(id)
	if l.knowsEpoch != presence.Epoch {
		presence.Identity = n.Self.toProto()
	}
	if l.versionSent != version {
		message.KnownPeers = identities(known)
	}
	if id == "" {
		return message
	}
	l.versionSent = version
	message.KnownEpoch = to.Identity.epoch()
	message.Acknowledgements = n.inbox.acknowledgements(id)
	if to.Identity.DataCentre != n.Self.DataCentre {
		message.Loads = []*peerv1.LoadState{n.centre.message(l.held[n.centre.source], n.Now())}
		return message
	}
	message.Loads = append(message.Loads, n.own.message(l.held[n.own.source], n.Now()))
	if n.wantsDemand(id) {
		message.Loads = append(message.Loads, n.demand.message(l.held[n.demand.source], n.Now()))
	}
	for source, e := range n.forwards {
		message.Loads = append(message.Loads, e.message(l.held[source], n.Now()))
	}
	return message
}

func (n *Node) linkOf(id string) *link {
	l := n.links[id]
	if l == nil {
		l = &link{held: make(map[string]acknowledgement)}
		n.links[id] = l
	}
	return l
}

func identities(peers []Peer) []*peerv1.Identity {
	list := make([]*peerv1.Identity, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.Identity.toProto())
	}
	return list
}

// received is what a peer sent, in a request or in a response.
type received interface {
	GetPresence() *peerv1.Presence
	GetLoads() []*peerv1.LoadState
	GetAcknowledgements() []*peerv1.Acknowledgement
	GetKnownPeers() []*peerv1.Identity
	GetKnownEpoch() uint64
}

// absorb takes what a peer sent. A message without identity from an unknown incarnation is only answered; the answer
// makes the peer send its identity.
func (n *Node) absorb(m received) {
	identity, ok := n.identify(m.GetPresence())
	if !ok {
		return
	}
	n.Table.Heard(identity, presenceFromProto(m.GetPresence()))
	for _, k := range m.GetKnownPeers() {
		n.Table.Learned(identityFromProto(k))
	}
	for _, update := range n.applyLoads(identity, m) {
		n.Sink.SetLoad(update.source, update.load)
	}
	n.Announcer.Announce(identity.InstanceID, m.GetPresence().GetConfigRevision())
}

// identify returns who sent the message. A new incarnation starts with a new link.
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
	delete(n.links, id)
	return identityFromProto(presence.GetIdentity()), true
}

type loadUpdate struct {
	source string
	load   Load
}

func (n *Node) applyLoads(from Identity, received received) []loadUpdate {
	acks := received.GetAcknowledgements()
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkOf(from.InstanceID)
	l.knowsEpoch = received.GetKnownEpoch()
	l.held = make(map[string]acknowledgement, len(acks))
	for _, a := range acks {
		l.held[a.GetSource()] = acknowledgement{epoch: a.GetEpoch(), sequence: a.GetSequence()}
	}
	var updates []loadUpdate
	for _, m := range received.GetLoads() {
		if s := m.GetSource(); s == n.own.source || s == n.demand.source || s == n.centre.source {
			continue
		}
		if load, ok := n.inbox.apply(from.InstanceID, m); ok {
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

// forgetSent makes the next message to the peer carry the identity and the known peers again, since the last one may be
// lost.
func (n *Node) forgetSent(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkOf(id)
	l.versionSent = 0
	l.knowsEpoch = 0
}
