// Package exchange carries state between instances by datagrams: what each has at the endpoints, what its clients ask
// for, and what the instance that places models has learned. Each message replaces the sender's former one, so that a
// lost datagram costs freshness only. connect-go is not used here because state that is replaced several times a second
// needs neither a connection nor a reply.
package exchange

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Message is one instance's state.
type Message struct {
	Instance string `json:"i"`
	// Started and Sequence order the messages of an instance over its restarts; Started is in Unix milliseconds.
	Started  int64 `json:"t"`
	Sequence int64 `json:"n"`
	// Work is this instance's own work at the endpoints as PackWork writes it; nil in early messages, which leave the former
	// one in force.
	Work []byte `json:"w"`
	// Models and Adapters go to the instance that places models. In early messages they are those that requests wait for;
	// the former state of others stays in force.
	Models   []ModelDoc   `json:"m,omitempty"`
	Adapters []AdapterDoc `json:"a,omitempty"`
	// Held comes from the instance that places models.
	Held    []HeldDoc    `json:"h,omitempty"`
	Loading []LoadingDoc `json:"l,omitempty"`
	// Handover comes from an instance that placed models until lately.
	Handover *HandoverDoc `json:"o,omitempty"`
	// Stale is set while the sender cannot read the store; receivers then tell it the endpoints that they know of, with
	// the store's revision that they know.
	Stale     bool          `json:"x,omitempty"`
	Revision  int64         `json:"v,omitempty"`
	Endpoints []EndpointDoc `json:"e,omitempty"`
	// Relay comes from an instance that watches the store for its data centre.
	Relay *RelayDoc `json:"y,omitempty"`
}

// RelayDoc tells all that changed in the store after one revision up to another.
type RelayDoc struct {
	After    int64 `json:"f"`
	Revision int64 `json:"v"`
	// Configuration is the version in force. While it is new, ConfigurationEntry is its compressed entry in the store.
	Configuration      int64  `json:"c"`
	ConfigurationEntry []byte `json:"b,omitempty"`
	// Holder is the instance that places models, or empty.
	Holder  string        `json:"h,omitempty"`
	Changed []EndpointDoc `json:"e,omitempty"`
	Gone    []string      `json:"g,omitempty"`
	// Instances are the entries of instances that changed, by name, and GoneInstances those that went.
	Instances     map[string]InstanceDoc `json:"p,omitempty"`
	GoneInstances []string               `json:"q,omitempty"`
}

// InstanceDoc is an instance's entry in the store.
type InstanceDoc struct {
	// Exchange is IP:PORT of its exchange socket.
	Exchange   string `json:"exchange"`
	DataCentre string `json:"dataCentre"`
	MemoryMB   int    `json:"memoryMb"`
}

// EndpointDoc is an endpoint's announcement.
type EndpointDoc struct {
	ID         string      `json:"i"`
	Service    string      `json:"s"`
	Address    string      `json:"a"`
	DataCentre string      `json:"d"`
	Lifetime   int64       `json:"t"`
	Slots      int         `json:"n"`
	Leaving    bool        `json:"g,omitempty"`
	RemovalMs  int64       `json:"r,omitempty"`
	Models     []HeldModel `json:"m,omitempty"`
}

// EncodeEndpoint returns the announcement as it is sent.
func EncodeEndpoint(a *fleet.Announcement) EndpointDoc {
	return EndpointDoc{
		ID: a.ID, Service: a.Service, Address: a.Address, DataCentre: a.DataCentre, Lifetime: a.Lifetime, Slots: a.Slots,
		Leaving: a.Leaving, RemovalMs: a.RemovalIn.Milliseconds(), Models: EncodeHeld(a.Models),
	}
}

// Decode returns the announcement.
func (d *EndpointDoc) Decode() fleet.Announcement {
	return fleet.Announcement{
		ID: d.ID, Service: d.Service, Address: d.Address, DataCentre: d.DataCentre, Lifetime: d.Lifetime, Slots: d.Slots,
		Leaving: d.Leaving, RemovalIn: time.Duration(d.RemovalMs) * time.Millisecond, Models: DecodeHeld(d.Models),
	}
}

// EncodeHeld returns models as they are sent.
func EncodeHeld(models []fleet.HeldModel) []HeldModel {
	var docs []HeldModel
	for _, m := range models {
		docs = append(docs, HeldModel(m))
	}
	return docs
}

// DecodeHeld returns the models.
func DecodeHeld(docs []HeldModel) []fleet.HeldModel {
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
	// Load is engine seconds per second, Requests are per second.
	Load float64 `json:"l"`
	// SlowLoad is the load over a longer time, from which a trend is seen.
	SlowLoad float64 `json:"o"`
	Requests float64 `json:"r"`
	Waiting  int     `json:"w,omitempty"`
}

// AdapterDoc is an adapter that was used lately at one instance, or for which requests wait.
type AdapterDoc struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	Adapter string `json:"a"`
	Waiting int    `json:"w,omitempty"`
	// IdleMs is the time since the last use.
	IdleMs int64 `json:"i,omitempty"`
}

// HeldDoc is what an endpoint holds after orders that it may not have announced yet.
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

// HandoverDoc says that the sender gives no more orders under a token.
type HandoverDoc struct {
	Fence int64 `json:"f"`
	// Ordered lists the endpoints that had an order lately.
	Ordered []string `json:"e,omitempty"`
	// Loading are the loads that have not ended.
	Loading []HandedLoadDoc `json:"l,omitempty"`
	// LoadAgesMs are the ages of recent loads from the weight store.
	LoadAgesMs []int64 `json:"a,omitempty"`
}

// HandedLoadDoc is a load that an order of a former holder began.
type HandedLoadDoc struct {
	Endpoint string `json:"e"`
	Model    string `json:"m"`
	// ReadyMs is the time until the model can serve.
	ReadyMs int64 `json:"r"`
}

// HeldModel is a model with its adapters.
type HeldModel struct {
	Name     string   `json:"n"`
	Version  int      `json:"v"`
	Adapters []string `json:"a,omitempty"`
}

// maxMessageBytes bounds a datagram.
const maxMessageBytes = 60 << 10

// Encode returns the datagram of a message.
func Encode(m *Message) ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode exchange message")
	}
	if len(data) > maxMessageBytes {
		return nil, errors.Newf("exchange message has %d bytes", len(data))
	}
	return data, nil
}

// Decode reads a datagram.
func Decode(data []byte) (*Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode exchange message")
	}
	if m.Instance == "" {
		return nil, errors.New("exchange message names no instance")
	}
	return &m, nil
}

// newer tells whether a message follows another of the same instance.
func newer(m *Message, started, sequence int64) bool {
	if m.Started != started {
		return m.Started > started
	}
	return m.Sequence > sequence
}

// restartGap is the silence after which another start time counts as a restart even if it is earlier: the sender's wall
// clock may have been set back.
const restartGap = time.Second

// staleAfter is the age at which another instance's state no longer counts.
const staleAfter = 3 * time.Second
