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
	// Work is this instance's own work by endpoint id.
	Work map[string]WorkDoc `json:"w,omitempty"`
	// Models and Adapters go to the instance that places models.
	Models   []ModelDoc   `json:"m,omitempty"`
	Adapters []AdapterDoc `json:"a,omitempty"`
	// Held comes from the instance that places models.
	Held    []HeldDoc    `json:"h,omitempty"`
	Loading []LoadingDoc `json:"l,omitempty"`
}

// WorkDoc is fleet.Work as waiting, prefill tokens, running, memory tokens, prefill rate and urgent tokens.
type WorkDoc [6]int

// EncodeWork returns the work as it is sent.
func EncodeWork(w fleet.Work) WorkDoc {
	return WorkDoc{w.Waiting, w.PrefillTokens, w.Running, w.MemoryTokens, w.PrefillRate, w.UrgentTokens}
}

// Decode returns the work.
func (d WorkDoc) Decode() fleet.Work {
	return fleet.Work{Waiting: d[0], PrefillTokens: d[1], Running: d[2], MemoryTokens: d[3], PrefillRate: d[4], UrgentTokens: d[5]}
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

// staleAfter is the age at which another instance's state no longer counts.
const staleAfter = 3 * time.Second
