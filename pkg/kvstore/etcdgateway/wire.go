package etcdgateway

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// Requests use snake_case names, which every version of the gateway accepts. Byte strings are base64, 64-bit integers
// are decimal strings.

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type compare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	ModRevision    *int64 `json:"mod_revision,string,omitempty"`
	CreateRevision *int64 `json:"create_revision,string,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type requestOp struct {
	Range  *rangeRequest `json:"request_range,omitempty"`
	Put    *putRequest   `json:"request_put,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
	Txn    *txnRequest   `json:"request_txn,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
	Failure []requestOp `json:"failure,omitempty"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type watchCreateRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string"`
	ProgressNotify bool   `json:"progress_notify"`
}

type watchRequest struct {
	Create watchCreateRequest `json:"create_request"`
}

// prefixEnd returns the first key after all keys with the prefix. One zero byte means the end of the key space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

func prefixRange(prefix string) rangeRequest {
	key := []byte(prefix)
	if len(key) == 0 {
		key = []byte{0}
	}
	return rangeRequest{Key: key, RangeEnd: prefixEnd(prefix)}
}

func encodeCommit(writes []kvstore.ConditionalWrite) txnRequest {
	if len(writes) == 1 {
		return encodeWrite(writes[0])
	}
	outer := txnRequest{}
	for _, w := range writes {
		nested := encodeWrite(w)
		outer.Success = append(outer.Success, requestOp{Txn: &nested})
	}
	return outer
}

func encodeWrite(w kvstore.ConditionalWrite) txnRequest {
	txn := txnRequest{}
	for _, c := range w.Conditions {
		txn.Compare = append(txn.Compare, encodeCondition(c))
	}
	for _, p := range w.Puts {
		put := &putRequest{Key: []byte(p.Key), Value: p.Value, Lease: int64(p.Lease)}
		txn.Success = append(txn.Success, requestOp{Put: put})
	}
	for _, key := range w.Deletes {
		txn.Success = append(txn.Success, requestOp{Delete: &rangeRequest{Key: []byte(key)}})
	}
	for _, key := range w.ReadOnFailure {
		txn.Failure = append(txn.Failure, requestOp{Range: &rangeRequest{Key: []byte(key)}})
	}
	return txn
}

func encodeCondition(c kvstore.Condition) compare {
	revision := int64(c.Equals)
	encoded := compare{Result: "EQUAL", Key: []byte(c.Key)}
	if c.Field == kvstore.CreateRevision {
		encoded.Target = "CREATE"
		encoded.CreateRevision = &revision
		return encoded
	}
	encoded.Target = "MOD"
	encoded.ModRevision = &revision
	return encoded
}

// object is a JSON object with normalised names, so that camelCase and snake_case names are equal.
type object map[string]json.RawMessage

var errMalformed = errors.New("malformed response of the key-value store")

func normalise(name string) string {
	return strings.ToLower(strings.ReplaceAll(name, "_", ""))
}

func parseObject(raw json.RawMessage) (object, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "parse object"), errMalformed)
	}
	if fields == nil {
		return nil, errors.Wrap(errMalformed, "null instead of an object")
	}
	normalised := make(object, len(fields))
	for name, value := range fields {
		key := normalise(name)
		if _, duplicate := normalised[key]; duplicate {
			return nil, errors.Wrapf(errMalformed, "field %q appears twice", name)
		}
		normalised[key] = value
	}
	return normalised, nil
}

func (o object) has(name string) bool {
	raw, ok := o[name]
	return ok && !bytes.Equal(raw, []byte("null"))
}

func (o object) decode(name string, into any) error {
	if !o.has(name) {
		return nil
	}
	if err := json.Unmarshal(o[name], into); err != nil {
		return errors.Mark(errors.Wrapf(err, "field %q", name), errMalformed)
	}
	return nil
}

// integer reads a decimal string or a JSON number; a missing field is zero, as in the proto JSON mapping.
func (o object) integer(name string) (int64, error) {
	if !o.has(name) {
		return 0, nil
	}
	text := strings.Trim(string(o[name]), `"`)
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "field %q", name), errMalformed)
	}
	return value, nil
}

func (o object) child(name string) (object, error) {
	if !o.has(name) {
		return object{}, nil
	}
	return parseObject(o[name])
}

func (o object) list(name string) ([]object, error) {
	var items []json.RawMessage
	if err := o.decode(name, &items); err != nil {
		return nil, err
	}
	objects := make([]object, 0, len(items))
	for _, raw := range items {
		parsed, err := parseObject(raw)
		if err != nil {
			return nil, err
		}
		objects = append(objects, parsed)
	}
	return objects, nil
}

// headerRevision returns the revision in the header. A response without one does not come from the store.
func (o object) headerRevision() (kvstore.Revision, error) {
	header, err := o.child("header")
	if err != nil {
		return 0, err
	}
	revision, err := header.integer("revision")
	if err != nil {
		return 0, err
	}
	if revision <= 0 {
		return 0, errors.Wrap(errMalformed, "header without revision")
	}
	return kvstore.Revision(revision), nil
}

func (o object) keyValue() (kvstore.KeyValue, error) {
	var key, value []byte
	create, errCreate := o.integer("createrevision")
	mod, errMod := o.integer("modrevision")
	lease, errLease := o.integer("lease")
	err := errors.Join(errCreate, errMod, errLease, o.decode("key", &key), o.decode("value", &value))
	if err != nil {
		return kvstore.KeyValue{}, err
	}
	return kvstore.KeyValue{
		Key:            string(key),
		Value:          value,
		CreateRevision: kvstore.Revision(create),
		ModRevision:    kvstore.Revision(mod),
		Lease:          kvstore.LeaseID(lease),
	}, nil
}

func (o object) keyValues(name string) ([]kvstore.KeyValue, error) {
	items, err := o.list(name)
	if err != nil {
		return nil, err
	}
	kvs := make([]kvstore.KeyValue, 0, len(items))
	for _, item := range items {
		kv, err := item.keyValue()
		if err != nil {
			return nil, err
		}
		kvs = append(kvs, kv)
	}
	return kvs, nil
}

func parseRange(raw []byte) ([]kvstore.KeyValue, kvstore.Revision, error) {
	response, err := parseObject(raw)
	if err != nil {
		return nil, 0, err
	}
	revision, err := response.headerRevision()
	if err != nil {
		return nil, 0, err
	}
	kvs, err := response.keyValues("kvs")
	if err != nil {
		return nil, 0, err
	}
	more := false
	if err := response.decode("more", &more); err != nil {
		return nil, 0, err
	}
	if more {
		return nil, 0, errors.Wrap(errMalformed, "range response is truncated")
	}
	return kvs, revision, nil
}

func parseCommit(raw []byte, writes int) ([]kvstore.WriteResult, error) {
	response, err := parseObject(raw)
	if err != nil {
		return nil, err
	}
	revision, err := response.headerRevision()
	if err != nil {
		return nil, err
	}
	if writes == 1 {
		result, err := response.writeResult(revision)
		if err != nil {
			return nil, err
		}
		return []kvstore.WriteResult{result}, nil
	}
	responses, err := response.list("responses")
	if err != nil {
		return nil, err
	}
	if len(responses) != writes {
		return nil, errors.Wrapf(errMalformed, "%d results for %d writes", len(responses), writes)
	}
	results := make([]kvstore.WriteResult, 0, writes)
	for _, r := range responses {
		if !r.has("responsetxn") {
			return nil, errors.Wrap(errMalformed, "result of a nested transaction is missing")
		}
		nested, err := r.child("responsetxn")
		if err != nil {
			return nil, err
		}
		result, err := nested.writeResult(revision)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// writeResult decodes the result of one transaction. All writes of a call commit at the revision of the outer header.
func (o object) writeResult(revision kvstore.Revision) (kvstore.WriteResult, error) {
	succeeded := false
	if err := o.decode("succeeded", &succeeded); err != nil {
		return kvstore.WriteResult{}, err
	}
	if succeeded {
		return kvstore.WriteResult{Applied: true, Revision: revision}, nil
	}
	responses, err := o.list("responses")
	if err != nil {
		return kvstore.WriteResult{}, err
	}
	result := kvstore.WriteResult{}
	for _, r := range responses {
		read, err := r.child("responserange")
		if err != nil {
			return kvstore.WriteResult{}, err
		}
		kvs, err := read.keyValues("kvs")
		if err != nil {
			return kvstore.WriteResult{}, err
		}
		result.Current = append(result.Current, kvs...)
	}
	return result, nil
}

// parseLease returns the lease id and its time to live in seconds. The keep-alive endpoint wraps it in "result".
func parseLease(raw []byte) (id, ttlSeconds int64, err error) {
	response, err := parseObject(raw)
	if err != nil {
		return 0, 0, err
	}
	if response.has("result") {
		if response, err = response.child("result"); err != nil {
			return 0, 0, err
		}
	}
	if _, err := response.headerRevision(); err != nil {
		return 0, 0, err
	}
	if id, err = response.integer("id"); err != nil {
		return 0, 0, err
	}
	if ttlSeconds, err = response.integer("ttl"); err != nil {
		return 0, 0, err
	}
	if id == 0 {
		return 0, 0, errors.Wrap(errMalformed, "lease response without id")
	}
	return id, ttlSeconds, nil
}

// watchMessage is one message of a watch stream.
type watchMessage struct {
	created bool
	events  []kvstore.Event
}

func parseWatch(raw []byte) (watchMessage, error) {
	outer, err := parseObject(raw)
	if err != nil {
		return watchMessage{}, err
	}
	if outer.has("error") {
		return watchMessage{}, errors.Wrapf(kvstore.ErrUnavailable, "watch failed: %.200s", outer["error"])
	}
	if !outer.has("result") {
		return watchMessage{}, errors.Wrap(errMalformed, "watch message without result")
	}
	result, err := outer.child("result")
	if err != nil {
		return watchMessage{}, err
	}
	message, canceled := watchMessage{}, false
	if err := errors.Join(result.decode("created", &message.created), result.decode("canceled", &canceled)); err != nil {
		return watchMessage{}, err
	}
	compacted, err := result.integer("compactrevision")
	if err != nil {
		return watchMessage{}, err
	}
	if compacted > 0 {
		return watchMessage{}, errors.Wrapf(kvstore.ErrCompacted, "compacted at revision %d", compacted)
	}
	if canceled {
		return watchMessage{}, errors.Wrap(kvstore.ErrUnavailable, "watch canceled by the store")
	}
	message.events, err = result.events()
	return message, err
}

func (o object) events() ([]kvstore.Event, error) {
	items, err := o.list("events")
	if err != nil {
		return nil, err
	}
	var events []kvstore.Event
	for _, item := range items {
		event, err := item.event()
		if err != nil {
			return nil, err
		}
		events = append(events, event)
	}
	return events, nil
}

func (o object) event() (kvstore.Event, error) {
	kind := strings.Trim(string(o["type"]), `"`)
	switch kind {
	case "", "null", "PUT", "0":
	case "DELETE", "1":
	default:
		return kvstore.Event{}, errors.Wrapf(errMalformed, "event type %q", kind)
	}
	if !o.has("kv") {
		return kvstore.Event{}, errors.Wrap(errMalformed, "event without key")
	}
	child, err := o.child("kv")
	if err != nil {
		return kvstore.Event{}, err
	}
	kv, err := child.keyValue()
	return kvstore.Event{KeyValue: kv, Deleted: kind == "DELETE" || kind == "1"}, err
}
