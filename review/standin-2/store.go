package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is an item of the store, or the mark of its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`

	at time.Time
}

// door is an address of the store for one machine.
type door struct {
	address string
	server  *http.Server
	shut    atomic.Bool
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// contents are all that the store holds, so that a copy of them can be taken and restored.
type contents struct {
	revision int64
	items    map[string]item
	history  []item
	dropped  int64
	leases   map[int64]lease
}

func (c contents) clone() contents {
	return contents{c.revision, maps.Clone(c.items), slices.Clone(c.history), c.dropped, maps.Clone(c.leases)}
}

// store is a stand-in of the platform's store.
type store struct {
	address string
	mu      sync.Mutex
	contents
	changed chan struct{}
	era     int64
	away    bool
	nextID  int64
	stop    chan struct{}
	server  *http.Server
	// doors are further addresses of the store, by machine; those that are shut answer 503.
	doors map[string]*door
	// keep is how long the history is kept (historyS).
	keep time.Duration
	// onWatch is called with each item or removal that a watch returns, and the machine that watches.
	onWatch func(caller string, event item)
}

func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), changed: make(chan struct{}), stop: make(chan struct{}), nextID: 77000,
		doors: make(map[string]*door), keep: 20 * time.Second,
		contents: contents{revision: 100, items: map[string]item{}, leases: map[int64]lease{}},
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) close() {
	close(s.stop)
	_ = s.server.Close()
	for _, d := range s.doors {
		_ = d.server.Close()
	}
}

// open opens an address of the store for one machine.
func (s *store) open(ip, machine string) (*door, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	d := &door{address: listener.Addr().String()}
	d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.shut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.Header.Set("Caller", machine)
		s.serve(w, r)
	})}
	s.doors[machine] = d
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

func (s *store) expireLeases() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.announce(it)
}

func (s *store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.announce(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) announce(it item) {
	it.at = time.Now()
	s.history = append(s.history, it)
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes an item as the operator and the replicas do. It returns false while the store is away.
func (s *store) write(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.put(key, data, 0)
	return true
}

// drop removes an item.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.items[key]
	return found
}

func (s *store) copy() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.clone()
}

// leave makes the store refuse all calls until restore.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore brings the store back from a copy, as a new era. Leases of the copy that have run out meanwhile end at once.
func (s *store) restore(c contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.contents, s.away = c.clone(), false
	s.wake()
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/mulberryglade/")
	path, id, _ := strings.Cut(path, "/")
	status, body := s.call(path, id, r)
	s.mu.Lock()
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
	s.mu.Unlock()
	if body == nil {
		w.WriteHeader(status)
		return
	}
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) call(path, id string, r *http.Request) (int, any) {
	if path == "kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return http.StatusServiceUnavailable, nil
	}
	query := r.URL.Query()
	switch path {
	case "kv-key":
		it, found := s.items[query.Get("key")]
		if !found {
			return http.StatusNotFound, map[string]any{"asOf": s.revision}
		}
		return http.StatusOK, struct {
			item
			AsOf int64 `json:"asOf"`
		}{it, s.revision}
	case "kv-range":
		return http.StatusOK, s.page(query.Get("prefix"), query.Get("after"))
	case "kv-txn":
		return s.txn(r)
	case "kv-lease":
		var body struct {
			TTLMs int64 `json:"ttlMs"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			return http.StatusBadRequest, nil
		}
		ttl := max(time.Duration(body.TTLMs)*time.Millisecond, time.Second)
		s.nextID++
		s.leases[s.nextID] = lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.nextID, "ttlMs": ttl.Milliseconds()}
	case "kv-keep", "kv-lease-end":
		number, _ := strconv.ParseInt(id, 10, 64)
		l, found := s.leases[number]
		if !found {
			return http.StatusNotFound, nil
		}
		if path == "kv-lease-end" {
			s.endLease(number)
			return http.StatusOK, map[string]any{}
		}
		s.leases[number] = lease{l.ttl, time.Now().Add(l.ttl)}
		return http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()}
	}
	return http.StatusNotFound, nil
}

func (s *store) page(prefix, after string) any {
	const pageItems = 500
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	return map[string]any{"items": items, "truncated": len(keys) > pageItems, "asOf": s.revision}
}

func (s *store) txn(r *http.Request) (int, any) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			current := []item{}
			for _, x := range body.Expected {
				current = append(current, s.items[x.Key])
			}
			return http.StatusPreconditionFailed, map[string]any{"items": current}
		}
	}
	for _, p := range body.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
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

// forgotten drops the history that is older than it is kept, and returns the newest revision that was dropped.
func (s *store) forgotten() int64 {
	old := 0
	for old < len(s.history) && time.Since(s.history[old].at) > s.keep {
		old++
	}
	if old > 0 {
		s.dropped = s.history[old-1].Revision
		s.history = slices.Clone(s.history[old:])
	}
	return s.dropped
}

func (s *store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		switch {
		case s.away:
			s.mu.Unlock()
			return http.StatusServiceUnavailable, nil
		case after > s.revision || s.era != era || after < s.forgotten():
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		reply := map[string]any{"events": events, "asOf": s.revision}
		changed, onWatch := s.changed, s.onWatch
		s.mu.Unlock()
		if len(events) > 0 {
			if onWatch != nil {
				for _, event := range events {
					onWatch(r.Header.Get("Caller"), event)
				}
			}
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, reply
		case <-r.Context().Done():
			return http.StatusOK, reply
		}
	}
}
