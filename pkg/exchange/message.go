// Package exchange sends state between instances by datagrams: the work that each instance has at the endpoints, the
// demand of its clients, and what the instance that places models, called the holder, knows of the endpoints. Each
// regular message replaces the sender's previous state, so that a lost datagram only delays an update. connect-go is
// not used here because state that is replaced several times a second needs neither a connection nor a reply.
package exchange

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/quarantine"
)

// Message is one instance's state.
type Message struct {
	Instance string `json:"i"`
	// Started and Sequence order the messages of an instance across its restarts. Started is the start time of the
	// process in Unix milliseconds.
	Started  int64 `json:"t"`
	Sequence int64 `json:"n"`
	// Work is the sender's own work at the endpoints, encoded by PackWork. It is nil in early messages, which leave the
	// previous work unchanged.
	Work []byte `json:"w"`
	// Parts are the prompt parts that the sender has recently sent to endpoints, encoded by PackParts.
	Parts []byte `json:"c,omitempty"`
	// Slowness is the sender's measurements of endpoints since its previous message, encoded by PackSlowness.
	Slowness []byte `json:"u,omitempty"`
	// Loads are the loads that endpoints have stated to the sender since its previous message, encoded by PackLoads.
	Loads []byte `json:"ld,omitempty"`
	// Models and Adapters are sent to the holder only. Early messages list only the models and adapters for which
	// requests are waiting, and leave the previous state of all others unchanged.
	Models   []ModelDoc   `json:"m,omitempty"`
	Adapters []AdapterDoc `json:"a,omitempty"`
	// Held and Loading are sent by the holder only.
	Held    []HeldDoc    `json:"h,omitempty"`
	Loading []LoadingDoc `json:"l,omitempty"`
	// Handover is sent by an instance that was the holder until recently. That instance need not be the one that was
	// the holder right before the present one.
	Handover *HandoverDoc `json:"o,omitempty"`
	// Era is the era of the store to which all revisions of the message belong. Encode and Decode move it between this
	// field and the revisions, so that builds without eras find the store's own revisions.
	Era int64 `json:"g,omitempty"`
	// Stale is set while the sender cannot read the store. Some of the receivers then send it the Endpoints of their
	// view of the store, with the Revision of that view.
	Stale     bool          `json:"x,omitempty"`
	Revision  int64         `json:"v,omitempty"`
	Endpoints []EndpointDoc `json:"e,omitempty"`
	// Relay is sent by an instance that watches the store for its data centre.
	Relay *RelayDoc `json:"y,omitempty"`
	// Leaving lists endpoints that have said to the sender that they leave, although the store may not say so yet.
	Leaving []LeavingDoc `json:"q,omitempty"`
	// Quota is a request or an answer between an instance and the coordinator of quotas, encoded by quota.Message. It is
	// the only state of its message.
	Quota []byte `json:"k,omitempty"`
	// Quarantine is sent while prompt parts are suspected of crashing endpoints.
	Quarantine *quarantine.Report `json:"z,omitempty"`
}

// LeavingDoc is a run of an endpoint that has said that it leaves, and the time since.
type LeavingDoc struct {
	Endpoint string `json:"e"`
	Lifetime int64  `json:"t"`
	AgeMs    int64  `json:"a"`
}

// RelayDoc lists all changes in the store after one revision up to and including another.
type RelayDoc struct {
	After    int64 `json:"f"`
	Revision int64 `json:"v"`
	// Gaps are ranges of revisions within which the sender did not see each change. It does not know of entries that were
	// created and removed within one, so that the message is not complete for a recipient whose view is within one.
	Gaps []RevisionGap `json:"k,omitempty"`
	// AgeMs is the age of the sender's view: the time since it was last known to be complete.
	AgeMs int64 `json:"d"`
	// Configuration is the version in force. While that version is new, ConfigurationEntry is its compressed store
	// entry.
	Configuration      int64  `json:"c"`
	ConfigurationEntry []byte `json:"b,omitempty"`
	// Holder is the instance that places models; empty if there is none.
	Holder           string        `json:"h,omitempty"`
	ChangedEndpoints []EndpointDoc `json:"e,omitempty"`
	RemovedEndpoints []string      `json:"g,omitempty"`
	// GraceMs lists the endpoints that the store no longer lists and that the sender keeps after an outage, each with the
	// time for which it does.
	GraceMs map[string]int64 `json:"w,omitempty"`
	// ChangedInstances maps the names of changed instances to their entries; RemovedInstances lists removed instances.
	ChangedInstances map[string]InstanceDoc `json:"p,omitempty"`
	RemovedInstances []string               `json:"q,omitempty"`
}

// RevisionGap is the range of revisions after one and before another.
type RevisionGap struct {
	After  int64 `json:"f"`
	Before int64 `json:"b"`
}

// Contains reports whether a revision is within the gap.
func (g RevisionGap) Contains(revision int64) bool {
	return g.After < revision && revision < g.Before
}

// InstanceDoc is an instance's entry in the store.
type InstanceDoc struct {
	// Exchange is IP:PORT of the instance's exchange socket.
	Exchange   string `json:"exchange"`
	DataCentre string `json:"dataCentre"`
	MemoryMB   int    `json:"memoryMb"`
}

// EndpointDoc is the encoded announcement of an endpoint.
type EndpointDoc struct {
	ID         string `json:"i"`
	Service    string `json:"s"`
	Address    string `json:"a"`
	DataCentre string `json:"d"`
	Lifetime   int64  `json:"t"`
	Software   string `json:"o,omitempty"`
	Slots      int    `json:"n"`
	Leaving    bool   `json:"g,omitempty"`
	RemovalMs  int64  `json:"r,omitempty"`
	// GraceMs is the time for which the sender keeps an endpoint that the store no longer lists; zero means that the
	// store lists it.
	GraceMs int64       `json:"k,omitempty"`
	Models  []HeldModel `json:"m,omitempty"`
}

// EncodeEndpoint encodes an announcement.
func EncodeEndpoint(a *fleet.Announcement) EndpointDoc {
	return EndpointDoc{
		ID: a.ID, Service: a.Service, Address: a.Address, DataCentre: a.DataCentre, Lifetime: a.Lifetime, Software: a.Software, Slots: a.Slots,
		Leaving: a.Leaving, RemovalMs: a.RemovalIn.Milliseconds(), Models: EncodeHeldModels(a.Models),
	}
}

// Decode returns the announcement that EncodeEndpoint encoded.
func (d *EndpointDoc) Decode() fleet.Announcement {
	return fleet.Announcement{
		ID: d.ID, Service: d.Service, Address: d.Address, DataCentre: d.DataCentre, Lifetime: d.Lifetime, Software: d.Software, Slots: d.Slots,
		Leaving: d.Leaving, RemovalIn: time.Duration(d.RemovalMs) * time.Millisecond, Models: DecodeHeldModels(d.Models),
	}
}

// EncodeHeldModels encodes the models that an endpoint holds.
func EncodeHeldModels(models []fleet.HeldModel) []HeldModel {
	var docs []HeldModel
	for _, m := range models {
		docs = append(docs, HeldModel(m))
	}
	return docs
}

// DecodeHeldModels returns the models that EncodeHeldModels encoded.
func DecodeHeldModels(docs []HeldModel) []fleet.HeldModel {
	var models []fleet.HeldModel
	for _, d := range docs {
		models = append(models, fleet.HeldModel(d))
	}
	return models
}

// ModelDoc is the demand for a model at one instance.
type ModelDoc struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	// ShortTermLoad is in engine seconds per second, RequestRate in requests per second.
	ShortTermLoad float64 `json:"l"`
	// LongTermLoad is the load averaged over a longer time. The difference between it and ShortTermLoad shows a trend.
	LongTermLoad float64 `json:"o"`
	RequestRate  float64 `json:"r"`
	Waiting      int     `json:"w,omitempty"`
}

// AdapterDoc is an adapter that one instance has used recently, or for which requests are waiting there.
type AdapterDoc struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	Adapter string `json:"a"`
	Waiting int    `json:"w,omitempty"`
	// Requests counts the requests in progress that use the adapter.
	Requests int `json:"n,omitempty"`
	// IdleMs is the time since the last use.
	IdleMs int64 `json:"i,omitempty"`
}

// HeldDoc lists the models that an endpoint holds after orders whose effect it may not have announced yet.
type HeldDoc struct {
	Endpoint string      `json:"e"`
	Lifetime int64       `json:"t"`
	Models   []HeldModel `json:"m"`
}

// LoadingDoc is a model that an endpoint is loading.
type LoadingDoc struct {
	Model string `json:"m"`
	// ReadyMs is the time until the model can serve.
	ReadyMs int64 `json:"r"`
}

// HandoverDoc states that the sender gives no more orders under a fencing token.
type HandoverDoc struct {
	FencingToken int64 `json:"f"`
	// Ordered lists the endpoints that received an order recently.
	Ordered []string `json:"e,omitempty"`
	// Loading lists the loads that have not ended.
	Loading []HandoverLoadDoc `json:"l,omitempty"`
	// LoadAgesMs lists the ages of recent loads from the weight store.
	LoadAgesMs []int64 `json:"a,omitempty"`
}

// HandoverLoadDoc is a load that the sender ordered as the holder.
type HandoverLoadDoc struct {
	Endpoint string `json:"e"`
	Model    string `json:"m"`
	// ReadyMs is the time until the model can serve.
	ReadyMs int64 `json:"r"`
}

// HeldModel is a model at an endpoint, with its adapters.
type HeldModel struct {
	Name     string   `json:"n"`
	Version  int      `json:"v"`
	Adapters []string `json:"a,omitempty"`
}

// maxMessageBytes bounds the size of a datagram.
const maxMessageBytes = 60 << 10

// ErrTooLarge means that a message does not fit into a datagram.
var ErrTooLarge = errors.New("exchange message too large")

// Encode returns the datagram that carries a message. Errors: ErrTooLarge above maxMessageBytes.
func Encode(m *Message) ([]byte, error) {
	data, err := json.Marshal(m.withoutEras())
	if err != nil {
		return nil, errors.Wrap(err, "encode exchange message")
	}
	if len(data) > maxMessageBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	return data, nil
}

// Decode returns the message that a datagram carries.
func Decode(data []byte) (*Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode exchange message")
	}
	if m.Instance == "" {
		return nil, errors.New("exchange message names no instance")
	}
	if err := m.restoreEras(); err != nil {
		return nil, errors.Wrap(err, "decode exchange message")
	}
	return &m, nil
}

// withoutEras returns the message with its era in Era instead of its revisions. All revisions are of the sender's view and
// thus of one era. Those from which on changes are listed may be of an earlier one; they become the begin of this era.
func (m *Message) withoutEras() *Message {
	era := kvstore.Revision(m.Revision).Era()
	if m.Relay != nil {
		era = max(era, kvstore.Revision(m.Relay.Revision).Era())
	}
	if era == 0 {
		return m
	}
	strip := func(revision int64) int64 {
		if r := kvstore.Revision(revision); r.Era() == era {
			return r.WithinEra()
		}
		return 0
	}
	stripped := *m
	stripped.Era, stripped.Revision = era, strip(m.Revision)
	if m.Relay != nil {
		relay := *m.Relay
		relay.After, relay.Revision = strip(relay.After), strip(relay.Revision)
		relay.Gaps = nil
		for _, g := range m.Relay.Gaps {
			relay.Gaps = append(relay.Gaps, RevisionGap{After: strip(g.After), Before: strip(g.Before)})
		}
		stripped.Relay = &relay
	}
	return &stripped
}

// restoreEras puts the era of a message into its revisions. Errors: an era or revision out of range.
func (m *Message) restoreEras() error {
	if m.Era == 0 {
		return nil
	}
	revisions := []*int64{&m.Revision}
	if m.Relay != nil {
		revisions = append(revisions, &m.Relay.After, &m.Relay.Revision)
		for i := range m.Relay.Gaps {
			revisions = append(revisions, &m.Relay.Gaps[i].After, &m.Relay.Gaps[i].Before)
		}
	}
	for _, revision := range revisions {
		restored, err := kvstore.RevisionInEra(m.Era, *revision)
		if err != nil {
			return err
		}
		*revision = int64(restored)
	}
	return nil
}

// newer reports whether m was sent after the message of the same instance with the given start time and sequence
// number.
func newer(m *Message, started, sequence int64) bool {
	if m.Started != started {
		return m.Started > started
	}
	return m.Sequence > sequence
}

// restartGap is the time without messages of an instance after which a different start time counts as a restart, even
// if it is earlier: the sender's wall clock may have been set back.
const restartGap = time.Second

// stateMaxAge is the age at which another instance's state is out of date.
const stateMaxAge = 3 * time.Second
