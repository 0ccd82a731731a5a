package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one item of the store, as it was written or, with Tombstone, as it was deleted.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
	AsOf      int64  `json:"asOf,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a stand-in of the platform's store. Each machine reaches it at an address of its own, so that one machine can
// be cut off from it.
type Store struct {
	mu       sync.Mutex
	revision int64
	// compacted is the newest revision whose change is no longer in the history.
	compacted int64
	items     map[string]item
	history   []item
	leases    map[int64]*storeLease
	nextLease int64
	changed   chan struct{}
	// down maps each machine that the store does not serve to what its calls get instead.
	down map[string]string
	// lost and late are the shares of writes that are carried out at once, or seconds later, and not answered.
	lost, late float64
}

// Values of Store.down.
const (
	downBusy   = "busy"
	downSilent = "silent"
	downReset  = "reset"
)

const maxWatchReplyBytes = 1 << 20

func newStore() *Store {
	s := &Store{revision: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{}), down: map[string]string{}}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

// listen serves one machine and returns the address.
func (s *Store) listen(machine string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) }))
	}()
	return l.Addr().String()
}

func (s *Store) setDown(machine, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[machine] = how
	s.wake()
}

func (s *Store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease requires mu.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// wake requires mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put requires mu.
func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
}

// remove requires mu.
func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	s.wake()
}

// Write sets a value, as the operator and the replicas do. It returns when the store has accepted it.
func (s *Store) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Delete deletes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// holds reports whether a key has a value.
func (s *Store) holds(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Equal(s.items[key].Value, value)
}

// text returns the value of a key.
func (s *Store) text(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// compact drops the history.
func (s *Store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.wake()
}

func (s *Store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	how := s.down[machine]
	s.mu.Unlock()
	switch how {
	case downBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case downReset:
		panic(http.ErrAbortHandler)
	case downSilent:
		<-r.Context().Done()
		return
	}
	if s.losesAnswer(machine, r) {
		<-r.Context().Done()
		return
	}
	status, body := s.execute(machine, r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// losesAnswer carries out a write at once or later if its answer is to be lost.
func (s *Store) losesAnswer(machine string, r *http.Request) bool {
	if r.Method == http.MethodGet {
		return false
	}
	s.mu.Lock()
	chance, lost, late := rand.Float64(), s.lost, s.late
	s.mu.Unlock()
	switch {
	case chance < lost:
		s.execute(machine, r)
	case chance < lost+late:
		content, _ := io.ReadAll(r.Body)
		copied := r.Clone(context.Background())
		copied.Body = io.NopCloser(bytes.NewReader(content))
		time.AfterFunc(time.Second+rand.N(5*time.Second), func() { s.execute(machine, copied) })
	default:
		return false
	}
	return true
}

func (s *Store) execute(machine string, r *http.Request) (int, any) {
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/mulberryglade/"), "/")
	query := r.URL.Query()
	if path == "kv-watch" {
		return s.watch(machine, r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch path {
	case "kv-key":
		it, found := s.items[query.Get("key")]
		if !found {
			return http.StatusNotFound, map[string]any{"asOf": s.revision}
		}
		it.AsOf = s.revision
		return http.StatusOK, it
	case "kv-range":
		return http.StatusOK, s.list(query.Get("prefix"), query.Get("after"))
	case "kv-txn":
		return s.txn(r)
	case "kv-lease":
		var body struct{ TTLMs int64 }
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			return http.StatusBadRequest, nil
		}
		ttl := time.Duration(max(body.TTLMs, 1000)) * time.Millisecond
		s.nextLease++
		s.leases[s.nextLease] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.nextLease, "ttlMs": ttl.Milliseconds()}
	case "kv-keep", "kv-lease-end":
		n, _ := strconv.ParseInt(id, 10, 64)
		l := s.leases[n]
		if l == nil {
			return http.StatusNotFound, nil
		}
		if path == "kv-lease-end" {
			s.endLease(n)
			return http.StatusOK, nil
		}
		l.expires = time.Now().Add(l.ttl)
		return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
	}
	return http.StatusNotFound, nil
}

// list requires mu.
func (s *Store) list(prefix, after string) any {
	const pageSize = 500
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, s.items[key])
	}
	return map[string]any{"items": items, "truncated": len(keys) > pageSize, "asOf": s.revision}
}

func (s *Store) watch(machine string, r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down[machine] != "" {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.compacted {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events, asOf := s.eventsAfter(query.Get("prefix"), after)
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "asOf": asOf}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "asOf": asOf}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

// eventsAfter requires mu.
func (s *Store) eventsAfter(prefix string, after int64) ([]item, int64) {
	events, size := []item{}, 0
	for _, it := range s.history {
		if it.Revision <= after || !strings.HasPrefix(it.Key, prefix) {
			continue
		}
		if size += len(it.Value); size > maxWatchReplyBytes && len(events) > 0 {
			return events, events[len(events)-1].Revision
		}
		events = append(events, it)
	}
	return events, s.revision
}

// txn requires mu.
func (s *Store) txn(r *http.Request) (int, any) {
	var body struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Deletes []string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, p := range body.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Deletes {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}
