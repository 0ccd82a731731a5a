package peer

import (
	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
)

// compose builds the message for a peer: the own load within the data centre, the sum of the data centre for others.
// An empty id means that the peer is not known yet; it gets no load.
func (n *Node) compose(id string, sameDataCentre bool) *peerv1.ExchangeRequest {
	presence := n.Local.Presence().toProto(n.Self)
	known := n.Table.All()
	version := n.Table.Version()

	n.mu.Lock()
	defer n.mu.Unlock()
	message := &peerv1.ExchangeRequest{Presence: presence}
	l := n.linkOf(id)
	if l.versionSent != version {
		message.KnownPeers = identities(known)
	}
	if id == "" {
		return message
	}
	l.versionSent = version
	message.Acknowledgements = n.inbox.acknowledgements(id)
	if !sameDataCentre {
		message.Loads = []*peerv1.LoadState{n.centre.message(l.held[n.centre.source])}
		return message
	}
	message.Loads = append(message.Loads, n.own.message(l.held[n.own.source]))
	for source, e := range n.forwards {
		message.Loads = append(message.Loads, e.message(l.held[source]))
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

// absorb takes what a peer sent, in a request or in a response.
func (n *Node) absorb(presence *peerv1.Presence, loads []*peerv1.LoadState, acks []*peerv1.Acknowledgement, known []*peerv1.Identity) {
	identity := identityFromProto(presence.GetIdentity())
	if identity.InstanceID == "" || identity.InstanceID == n.Self.InstanceID {
		return
	}
	n.dropLinkOfOldIncarnation(identity)
	n.Table.Heard(identity, presenceFromProto(presence))
	for _, k := range known {
		n.Table.Learned(identityFromProto(k))
	}
	for _, update := range n.applyLoads(identity, loads, acks) {
		n.Sink.SetLoad(update.source, update.load)
	}
	n.Announcer.Announce(identity.InstanceID, presence.GetConfigRevision())
}

func (n *Node) dropLinkOfOldIncarnation(identity Identity) {
	old, known := n.Table.Find(identity.InstanceID)
	if !known || old.Identity.Incarnation == identity.Incarnation {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, identity.InstanceID)
}

type loadUpdate struct {
	source string
	load   Load
}

func (n *Node) applyLoads(from Identity, loads []*peerv1.LoadState, acks []*peerv1.Acknowledgement) []loadUpdate {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.linkOf(from.InstanceID)
	l.held = make(map[string]acknowledgement, len(acks))
	for _, a := range acks {
		l.held[a.GetSource()] = acknowledgement{epoch: a.GetEpoch(), sequence: a.GetSequence()}
	}
	var updates []loadUpdate
	for _, m := range loads {
		if m.GetSource() == n.own.source || m.GetSource() == n.centre.source {
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

func (n *Node) sameDataCentreOrUnknown(id string) bool {
	p, known := n.Table.Find(id)
	return !known || p.Identity.DataCentre == n.Self.DataCentre
}

// forgetVersionSent makes the next message to the peer carry the known peers again, since the last one may be lost.
func (n *Node) forgetVersionSent(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkOf(id).versionSent = 0
}
