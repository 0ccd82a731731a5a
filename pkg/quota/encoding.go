package quota

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// The first byte of an encoded message is its kind.
const (
	kindRequest = 1
	kindAnswer  = 2
)

// maxEntries bounds the entries of each list in a message. No instance sends more.
const maxEntries = 4096

// Encode returns a message as a kind followed by integers of variable length. Times are in microseconds.
func (m *Message) Encode() []byte {
	e := encoder{}
	if r := m.Request; r != nil {
		e = append(e, kindRequest)
		e.integers(r.Epoch, r.Number, r.Version, r.CoordinatorEpoch, micros(r.CoordinatorTime), micros(r.LentFor), int64(r.Instances), int64(len(r.Demands)))
		for _, d := range r.Demands {
			e.integers(int64(d.Workspace), d.Advance, micros(d.Patience), d.Used, int64(len(d.Costs)))
			e.integers(d.Costs...)
		}
	}
	if a := m.Answer; a != nil {
		e = append(e, kindAnswer)
		e.integers(a.Epoch, micros(a.Time), a.RequestEpoch, a.Request, a.Version, int64(a.Instances), a.Share, int64(len(a.Grants)))
		for _, g := range a.Grants {
			e.integers(int64(g.Workspace), g.Amount, micros(g.Wait), int64(g.Rate*1000))
		}
		e.integers(int64(len(a.Usage)))
		for _, u := range a.Usage {
			e.integers(int64(u.Workspace), u.PerSecond)
		}
	}
	return e
}

type encoder []byte

func (e *encoder) integers(values ...int64) {
	for _, v := range values {
		*e = binary.AppendUvarint(*e, uint64(max(v, 0)))
	}
}

func micros(d time.Duration) int64 { return d.Microseconds() }

// Decode returns the message that Encode encoded.
func Decode(data []byte) (*Message, error) {
	if len(data) == 0 {
		return nil, errors.New("quota message is empty")
	}
	d := decoder{rest: data[1:]}
	var m Message
	switch data[0] {
	case kindRequest:
		m.Request = d.request()
	case kindAnswer:
		m.Answer = d.answer()
	default:
		return nil, errors.Newf("quota message is of unknown kind %d", data[0])
	}
	if d.invalid || len(d.rest) > 0 {
		return nil, errors.New("quota message is malformed")
	}
	return &m, nil
}

type decoder struct {
	rest    []byte
	invalid bool
}

func (d *decoder) integer() int64 {
	value, length := binary.Uvarint(d.rest)
	if length <= 0 || value > 1<<62 {
		d.invalid, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[length:]
	return int64(value)
}

// count returns the number of entries in a list.
func (d *decoder) count() int {
	n := d.integer()
	if n > maxEntries {
		d.invalid, d.rest = true, nil
		return 0
	}
	return int(n)
}

// duration bounds times to 2^50 microseconds, so that they do not overflow.
func (d *decoder) duration() time.Duration {
	return time.Duration(min(d.integer(), 1<<50)) * time.Microsecond
}

func (d *decoder) request() *Request {
	r := &Request{
		Epoch: d.integer(), Number: d.integer(), Version: d.integer(), CoordinatorEpoch: d.integer(), CoordinatorTime: d.duration(),
		LentFor: d.duration(), Instances: int(d.integer()),
	}
	for range d.count() {
		demand := Demand{Workspace: Key(d.integer()), Advance: d.integer(), Patience: d.duration(), Used: d.integer()}
		for range d.count() {
			demand.Costs = append(demand.Costs, d.integer())
		}
		r.Demands = append(r.Demands, demand)
		if d.invalid {
			break
		}
	}
	return r
}

func (d *decoder) answer() *Answer {
	a := &Answer{
		Epoch: d.integer(), Time: d.duration(), RequestEpoch: d.integer(), Request: d.integer(), Version: d.integer(), Instances: int(d.integer()),
		Share: d.integer(),
	}
	for range d.count() {
		a.Grants = append(a.Grants, Grant{
			Workspace: Key(d.integer()), Amount: d.integer(), Wait: d.duration(), Rate: float64(d.integer()) / 1000,
		})
	}
	for range d.count() {
		a.Usage = append(a.Usage, Usage{Workspace: Key(d.integer()), PerSecond: d.integer()})
	}
	return a
}
