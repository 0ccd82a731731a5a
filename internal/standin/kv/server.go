package kv

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// maxRequestBytes is the request limit of the service. A value of kvstore.MaxValueBytes fits, including its base64
// encoding and the JSON around it.
const maxRequestBytes = 4 << 20

// gRPC status codes and messages of the service's error responses.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
	codeUnavailable     = 14

	messageNoLeader      = "etcdserver: no leader"
	messageLeaseNotFound = "etcdserver: requested lease not found"
	messageTooLarge      = "etcdserver: request is too large"
	messageDuplicateKey  = "etcdserver: duplicate key given in txn request"
)

// Server serves a Memory over HTTP with the API of the etcd v3 JSON gateway. Faults are set at /faults.
type Server struct {
	// CamelCase selects camelCase names in responses instead of snake_case. Both are used by deployed gateways.
	CamelCase bool

	store *Memory
	http  http.Server
}

// NewServer returns a server for the store.
func NewServer(store *Memory) *Server {
	s := &Server{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.handle(s.serveRange))
	mux.HandleFunc("POST /v3/kv/txn", s.handle(s.serveTxn))
	mux.HandleFunc("POST /v3/lease/grant", s.handle(s.serveGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", s.handle(s.serveKeepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", s.handle(s.serveRevoke))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /faults", s.getCounts)
	s.http.Handler = mux
	return s
}

// Serve accepts connections until Close; it returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve key-value stand-in")
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// handler handles a request body and returns the response, which is encoded as JSON.
type handler func(ctx context.Context, body []byte) (any, error)

func (s *Server) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			s.writeError(w, kvstore.ErrValueTooLarge)
			return
		}
		response, err := h(r.Context(), body)
		if errors.Is(err, kvstore.ErrOutcomeUnknown) {
			dropConnection(w)
			return
		}
		if err != nil {
			s.writeError(w, err)
			return
		}
		s.writeJSON(w, http.StatusOK, response)
	}
}

// dropConnection closes the connection without a response, as a client sees it when the reply is lost.
func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(s.encode(body), '\n'))
}

func (s *Server) encode(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	if s.CamelCase {
		return renameFields(raw, camelCase)
	}
	return raw
}

type errorBody struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	status, body := http.StatusServiceUnavailable, errorBody{Code: codeUnavailable, Message: messageNoLeader}
	switch {
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		status, body = http.StatusNotFound, errorBody{Code: codeNotFound, Message: messageLeaseNotFound}
	case errors.Is(err, kvstore.ErrValueTooLarge):
		status, body = http.StatusBadRequest, errorBody{Code: codeInvalidArgument, Message: messageTooLarge}
	case errors.Is(err, errDuplicateKey):
		status, body = http.StatusBadRequest, errorBody{Code: codeInvalidArgument, Message: messageDuplicateKey}
	case errors.Is(err, errUnsupported):
		status, body = http.StatusBadRequest, errorBody{Code: codeInvalidArgument, Message: err.Error()}
	}
	body.Error = body.Message
	s.writeJSON(w, status, body)
}

func (s *Server) serveRange(ctx context.Context, body []byte) (any, error) {
	var request rangeRequest
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	var kvs []kvstore.KeyValue
	var revision kvstore.Revision
	var err error
	if len(request.RangeEnd) == 0 {
		var kv kvstore.KeyValue
		var found bool
		kv, found, revision, err = s.store.Get(ctx, string(request.Key))
		if found {
			kvs = append(kvs, kv)
		}
	} else {
		var prefix string
		if prefix, err = request.prefix(); err != nil {
			return nil, err
		}
		kvs, revision, err = s.store.Range(ctx, prefix)
	}
	if err != nil {
		return nil, err
	}
	return encodeRange(kvs, revision), nil
}

func (s *Server) serveTxn(ctx context.Context, body []byte) (any, error) {
	var request txnRequest
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	writes, nested, err := request.writes()
	if err != nil {
		return nil, err
	}
	results, err := s.store.Commit(ctx, writes)
	if err != nil {
		return nil, err
	}
	return encodeTxn(writes, results, nested, s.store.Revision()), nil
}

func (s *Server) serveGrant(ctx context.Context, body []byte) (any, error) {
	var request leaseMessage
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	id, ttl, err := s.store.Grant(ctx, time.Duration(request.TTL)*time.Second)
	if err != nil {
		return nil, err
	}
	return leaseMessage{Header: s.header(), ID: int64(id), TTL: int64(ttl / time.Second)}, nil
}

func (s *Server) serveKeepAlive(ctx context.Context, body []byte) (any, error) {
	var request leaseMessage
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	ttl, err := s.store.KeepAlive(ctx, kvstore.LeaseID(request.ID))
	// For a missing lease, the service sends a response without a time to live instead of an error.
	if err != nil && !errors.Is(err, kvstore.ErrLeaseNotFound) {
		return nil, err
	}
	return streamResult{leaseMessage{Header: s.header(), ID: request.ID, TTL: int64(ttl / time.Second)}}, nil
}

func (s *Server) serveRevoke(ctx context.Context, body []byte) (any, error) {
	var request leaseMessage
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	if err := s.store.Revoke(ctx, kvstore.LeaseID(request.ID)); err != nil {
		return nil, err
	}
	return leaseMessage{Header: s.header()}, nil
}

func (s *Server) header() *header {
	return &header{ClusterID: 1, MemberID: 1, Revision: int64(s.store.Revision()), RaftTerm: 1}
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	body, err := readFirst(r.Body)
	if err == nil {
		err = decode(body, &request)
	}
	if err != nil {
		s.writeError(w, err)
		return
	}
	key := rangeRequest{Key: request.Create.Key, RangeEnd: request.Create.RangeEnd}
	prefix, err := key.prefix()
	if err != nil {
		s.writeError(w, err)
		return
	}
	from := kvstore.Revision(request.Create.StartRevision)
	if from == 0 {
		from = s.store.Revision() + 1
	}
	watch, err := s.store.Watch(r.Context(), prefix, from)
	if err != nil {
		s.writeError(w, err)
		return
	}
	defer watch.Close()
	s.streamEvents(w, r, watch)
}

// readFirst reads the first JSON value of a request body that the client may keep open.
func readFirst(body io.Reader) ([]byte, error) {
	var raw json.RawMessage
	err := json.NewDecoder(io.LimitReader(body, maxRequestBytes)).Decode(&raw)
	return raw, errors.Mark(err, errUnsupported)
}

func (s *Server) streamEvents(w http.ResponseWriter, r *http.Request, watch kvstore.Watch) {
	s.writeJSON(w, http.StatusOK, streamResult{watchResponse{Header: s.header(), Created: true}})
	flush := http.NewResponseController(w).Flush
	for flush() == nil {
		events, err := watch.Next(r.Context())
		response := watchResponse{Header: s.header()}
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			response.Canceled, response.CompactRevision = true, int64(s.store.Compacted())
		case err != nil:
			// Aborts the response: otherwise the client would see a regular end of the stream in an outage.
			panic(http.ErrAbortHandler)
		default:
			response.Events = encodeEvents(events)
		}
		if _, err := w.Write(append(s.encode(streamResult{response}), '\n')); err != nil || response.Canceled {
			return
		}
	}
}

// FaultRequest is the body of POST /faults. Absent fields change nothing.
type FaultRequest struct {
	// Call and the fields up to Count queue a fault for the next Count calls of this method; a Count of zero means one
	// call.
	Call      Call  `json:"call,omitempty"`
	DelayMs   int64 `json:"delayMs,omitempty"`
	Refuse    bool  `json:"refuse,omitempty"`
	DropReply bool  `json:"dropReply,omitempty"`
	Hold      bool  `json:"hold,omitempty"`
	Count     int   `json:"count,omitempty"`
	// Down starts or ends an outage.
	Down *bool `json:"down,omitempty"`
	// LatencyMs sets the latency of all calls; zero removes it.
	LatencyMs *int64 `json:"latencyMs,omitempty"`
	// ReadsPerSecond and WritesPerSecond set both rate limits if one of them is present; absent or zero means no limit.
	ReadsPerSecond  *float64 `json:"readsPerSecond,omitempty"`
	WritesPerSecond *float64 `json:"writesPerSecond,omitempty"`
	// ApplyHeld applies the held commits.
	ApplyHeld bool `json:"applyHeld,omitempty"`
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.applyFaults(request)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) applyFaults(request FaultRequest) {
	faults := s.store.Faults
	if request.Call != "" {
		fault := Fault{
			Delay:     time.Duration(request.DelayMs) * time.Millisecond,
			Refuse:    request.Refuse,
			DropReply: request.DropReply,
			Hold:      request.Hold,
		}
		for range max(1, request.Count) {
			faults.Queue(request.Call, fault)
		}
	}
	if request.Down != nil {
		faults.SetDown(*request.Down)
	}
	if request.LatencyMs != nil {
		faults.SetLatency(time.Duration(*request.LatencyMs) * time.Millisecond)
	}
	if request.ReadsPerSecond != nil || request.WritesPerSecond != nil {
		faults.SetRates(valueOrZero(request.ReadsPerSecond), valueOrZero(request.WritesPerSecond))
	}
	if request.ApplyHeld {
		s.store.ApplyHeld()
	}
}

func valueOrZero(v *float64) float64 {
	if v == nil {
		return 0
	}
	return *v
}

// getCounts responds with the number of calls so far by method.
func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	counts := make(map[Call]int)
	for _, call := range []Call{CallGet, CallRange, CallCommit, CallGrant, CallKeepAlive, CallRevoke, CallWatch} {
		counts[call] = s.store.Faults.Count(call)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(counts)
}
