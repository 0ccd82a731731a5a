package kv

import (
	"encoding/json"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// The JSON types are not shared with the client (pkg/kvstore/etcdgateway), so that a mistake in one of them does not
// affect both sides.

var (
	errUnsupported  = errors.New("request is malformed or not supported by the stand-in")
	errDuplicateKey = errors.New("duplicate key given in txn request")
)

type header struct {
	ClusterID uint64 `json:"cluster_id,string"`
	MemberID  uint64 `json:"member_id,string"`
	Revision  int64  `json:"revision,string"`
	RaftTerm  uint64 `json:"raft_term,string"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeResponse struct {
	Header *header    `json:"header,omitempty"`
	KVs    []keyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

type compareRequest struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	ModRevision    int64  `json:"mod_revision,string"`
	CreateRevision int64  `json:"create_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type requestOp struct {
	Range  *rangeRequest `json:"request_range"`
	Put    *putRequest   `json:"request_put"`
	Delete *rangeRequest `json:"request_delete_range"`
	Txn    *txnRequest   `json:"request_txn"`
}

type txnRequest struct {
	Compare []compareRequest `json:"compare"`
	Success []requestOp      `json:"success"`
	Failure []requestOp      `json:"failure"`
}

type headerOnly struct {
	Header *header `json:"header"`
}

type responseOp struct {
	Range  *rangeResponse `json:"response_range,omitempty"`
	Put    *headerOnly    `json:"response_put,omitempty"`
	Delete *headerOnly    `json:"response_delete_range,omitempty"`
	Txn    *txnResponse   `json:"response_txn,omitempty"`
}

type txnResponse struct {
	Header    *header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type leaseMessage struct {
	Header *header `json:"header,omitempty"`
	ID     int64   `json:"ID,string,omitempty"`
	TTL    int64   `json:"TTL,string,omitempty"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchEvent struct {
	// Type is absent for a put, which is the default value of the enumeration.
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          *header      `json:"header"`
	WatchID         int64        `json:"watch_id,string,omitempty"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

type streamResult struct {
	Result any `json:"result"`
}

// decode decodes a request with snake_case or camelCase names.
func decode(body []byte, into any) error {
	return errors.Mark(json.Unmarshal(renameFields(body, snakeCase), into), errUnsupported)
}

// renameFields renames all fields of all objects. It returns malformed JSON unchanged.
func renameFields(raw []byte, rename func(string) string) []byte {
	var value any
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.UseNumber()
	if decoder.Decode(&value) != nil {
		return raw
	}
	renamed, err := json.Marshal(renameValue(value, rename))
	if err != nil {
		return raw
	}
	return renamed
}

func renameValue(value any, rename func(string) string) any {
	switch v := value.(type) {
	case map[string]any:
		renamed := make(map[string]any, len(v))
		for name, field := range v {
			renamed[rename(name)] = renameValue(field, rename)
		}
		return renamed
	case []any:
		for i := range v {
			v[i] = renameValue(v[i], rename)
		}
	}
	return value
}

func snakeCase(name string) string {
	if name == "ID" || name == "TTL" {
		return name
	}
	var b strings.Builder
	for _, r := range name {
		if unicode.IsUpper(r) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

func camelCase(name string) string {
	parts := strings.Split(name, "_")
	for i, part := range parts[1:] {
		parts[i+1] = strings.ToUpper(part[:1]) + part[1:]
	}
	return strings.Join(parts, "")
}

// prefix returns the key prefix that the range covers. Other ranges are not supported.
func (r rangeRequest) prefix() (string, error) {
	if string(r.Key) == "\x00" && string(r.RangeEnd) == "\x00" {
		return "", nil
	}
	end := []byte(string(r.Key))
	for len(end) > 0 && end[len(end)-1] == 0xff {
		end = end[:len(end)-1]
	}
	if len(end) == 0 {
		end = []byte{0}
	} else {
		end[len(end)-1]++
	}
	if string(end) != string(r.RangeEnd) {
		return "", errors.Wrap(errUnsupported, "range is not a prefix")
	}
	return string(r.Key), nil
}

// writes converts a transaction to conditional writes; nested reports whether each of them was a nested transaction.
func (t txnRequest) writes() (writes []kvstore.ConditionalWrite, nested bool, err error) {
	nested = len(t.Compare) == 0 && len(t.Success) > 0 && t.Success[0].Txn != nil
	transactions := []txnRequest{t}
	if nested {
		transactions = nil
		for _, op := range t.Success {
			if op.Txn == nil {
				return nil, false, errors.Wrap(errUnsupported, "transactions mixed with other operations")
			}
			transactions = append(transactions, *op.Txn)
		}
	}
	for _, transaction := range transactions {
		w, err := transaction.write()
		if err != nil {
			return nil, false, err
		}
		writes = append(writes, w)
	}
	if writesKeyTwice(writes) {
		return nil, false, errDuplicateKey
	}
	return writes, nested, nil
}

func (t txnRequest) write() (kvstore.ConditionalWrite, error) {
	w := kvstore.ConditionalWrite{}
	for _, c := range t.Compare {
		condition, err := c.condition()
		if err != nil {
			return w, err
		}
		w.Conditions = append(w.Conditions, condition)
	}
	for _, op := range t.Success {
		switch {
		case op.Put != nil:
			put := kvstore.Put{Key: string(op.Put.Key), Value: op.Put.Value, Lease: kvstore.LeaseID(op.Put.Lease)}
			w.Puts = append(w.Puts, put)
		case op.Delete != nil && len(op.Delete.RangeEnd) == 0:
			w.Deletes = append(w.Deletes, string(op.Delete.Key))
		default:
			return w, errors.Wrap(errUnsupported, "success operation")
		}
	}
	for _, op := range t.Failure {
		if op.Range == nil || len(op.Range.RangeEnd) != 0 {
			return w, errors.Wrap(errUnsupported, "failure operation")
		}
		w.ReadOnFailure = append(w.ReadOnFailure, string(op.Range.Key))
	}
	return w, nil
}

func (c compareRequest) condition() (kvstore.Condition, error) {
	condition := kvstore.Condition{Key: string(c.Key)}
	if c.Result != "EQUAL" && c.Result != "" {
		return condition, errors.Wrapf(errUnsupported, "compare result %q", c.Result)
	}
	switch c.Target {
	case "MOD":
		condition.Field, condition.Equals = kvstore.ModRevision, kvstore.Revision(c.ModRevision)
	case "CREATE":
		condition.Field, condition.Equals = kvstore.CreateRevision, kvstore.Revision(c.CreateRevision)
	default:
		return condition, errors.Wrapf(errUnsupported, "compare target %q", c.Target)
	}
	return condition, nil
}

func encodeKV(kv kvstore.KeyValue) keyValue {
	return keyValue{
		Key:            []byte(kv.Key),
		Value:          kv.Value,
		CreateRevision: int64(kv.CreateRevision),
		ModRevision:    int64(kv.ModRevision),
		Lease:          int64(kv.Lease),
	}
}

func encodeRange(kvs []kvstore.KeyValue, revision kvstore.Revision) *rangeResponse {
	response := &rangeResponse{Header: &header{ClusterID: 1, MemberID: 1, Revision: int64(revision), RaftTerm: 1}}
	for _, kv := range kvs {
		response.KVs = append(response.KVs, encodeKV(kv))
	}
	response.Count = int64(len(kvs))
	return response
}

// encodeTxn encodes the response to a transaction. The revision in it is that of the commit. If nothing was applied, it
// is the parameter revision, the current one of the store.
func encodeTxn(writes []kvstore.ConditionalWrite, results []kvstore.WriteResult, nested bool, revision kvstore.Revision) txnResponse {
	for _, r := range results {
		if r.Applied {
			revision = r.Revision
		}
	}
	responseHeader := &header{ClusterID: 1, MemberID: 1, Revision: int64(revision), RaftTerm: 1}
	var responses []txnResponse
	for i, w := range writes {
		responses = append(responses, encodeResult(w, results[i]))
	}
	if !nested {
		responses[0].Header = responseHeader
		return responses[0]
	}
	outer := txnResponse{Header: responseHeader, Succeeded: true}
	for i := range responses {
		responses[i].Header = &header{}
		outer.Responses = append(outer.Responses, responseOp{Txn: &responses[i]})
	}
	return outer
}

func encodeResult(w kvstore.ConditionalWrite, r kvstore.WriteResult) txnResponse {
	response := txnResponse{Succeeded: r.Applied}
	if r.Applied {
		revision := &header{Revision: int64(r.Revision)}
		for range w.Puts {
			response.Responses = append(response.Responses, responseOp{Put: &headerOnly{revision}})
		}
		for range w.Deletes {
			response.Responses = append(response.Responses, responseOp{Delete: &headerOnly{revision}})
		}
		return response
	}
	for _, key := range w.ReadOnFailure {
		read := &rangeResponse{}
		for _, kv := range r.Current {
			if kv.Key == key {
				read.KVs = append(read.KVs, encodeKV(kv))
				read.Count = 1
				break
			}
		}
		response.Responses = append(response.Responses, responseOp{Range: read})
	}
	return response
}

func encodeEvents(events []kvstore.Event) []watchEvent {
	encoded := make([]watchEvent, 0, len(events))
	for _, e := range events {
		event := watchEvent{KV: encodeKV(e.KeyValue)}
		if e.Deleted {
			event.Type = "DELETE"
		}
		encoded = append(encoded, event)
	}
	return encoded
}
