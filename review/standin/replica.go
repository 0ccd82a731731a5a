package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one run of a request at a replica.
type Run struct {
	Attempt, Replica, Service, Signature, Target, Body string
	Status                                             int
	Start, End                                         time.Time
	Header                                             http.Header
	// firstEvent and lastEvent are the first event of a stream that the run makes and the last one of the stream.
	firstEvent, lastEvent int
}

// OrderSeen is one order as it arrived at a replica.
type OrderSeen struct {
	At          time.Time
	Replica     string
	Holder      string
	Token       int64
	Description string
	Status      int
}

// Faults are the shares of requests with which a replica does something unusual.
type Faults struct {
	// Shed: the replica turns the request away as not run. Fail: it answers 500 after the run. Lose: it runs the request
	// and closes the channel without an answer. Truncate: it breaks off the answer. Extra: it sends the answer a second
	// time at once. ExtraLate: it sends the previous answer on the channel again just before the next one. Unframed: the
	// answer ends with its channel.
	Shed, Fail, Lose, Truncate, Extra, ExtraLate, Unframed float64
	// ControlLate is ExtraLate for orders and reports.
	ControlLate float64
	// ControlLose: an order is carried out and gets no answer. ControlDelay: it gets none and is carried out seconds later.
	ControlLose, ControlDelay float64
}

// World is what all stand-ins share.
type World struct {
	store *Store

	mu     sync.Mutex
	runs   []*Run
	orders []OrderSeen
	notes  []string
	random *rand.Rand
	faults Faults
}

func (w *World) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (w *World) chance(share func(*Faults) float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < share(&w.faults)
}

// model is a model that a replica holds.
type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// Replica is a stand-in of one replica.
type Replica struct {
	world    *World
	id       string
	service  string
	zone     string
	slots    int
	workTime time.Duration
	// eventsOfStream is the number of events of each stream; zero means that it differs by request.
	eventsOfStream int
	listener       net.Listener
	// controlTime is the time to answer an order or a report.
	controlTime time.Duration
	// repeatBefore, if not nil, reports whether the previous answer on a channel is sent once more before a request is
	// answered.
	repeatBefore func(req *http.Request, body, previous []byte) bool

	mu           sync.Mutex
	born         int64
	state        string
	saysLeaving  bool
	retryAfterTo time.Time
	seq          int64
	models       []model
	busyUntil    time.Time
	running      int
	// adapterRuns counts the runs per MODEL/ADAPTER. unloading holds adapters whose unload waits for their runs.
	adapterRuns map[string]int
	unloading   map[string]bool
	crashed     bool
	// answered counts the answers.
	answered atomic.Int64
	conns    map[net.Conn]bool
	arrivals []Arrival
	ended    bool
}

// Arrival is a client request as it reached a replica, run or not.
type Arrival struct {
	At      time.Time
	Attempt string
	Status  int
	// busyUntil is the end of the time for which the replica wants nothing, if it said so in its answer.
	busyUntil time.Time
}

// plainSlots is the number of slots of a replica without models.
const plainSlots = 6

func newReplica(w *World, id, service, zone string, models ...string) *Replica {
	r := &Replica{world: w, id: id, service: service, zone: zone, slots: 64, workTime: 20 * time.Millisecond, state: "ready",
		conns: map[net.Conn]bool{}, adapterRuns: map[string]int{}, unloading: map[string]bool{}}
	if len(models) == 0 {
		r.slots = plainSlots
	}
	for _, m := range models {
		r.models = append(r.models, model{Name: m, Version: 1, Adapters: []string{}})
	}
	return r
}

// listenAt starts the replica at an address and writes its entry.
func (r *Replica) listenAt(address string) {
	l, err := net.Listen("tcp", address)
	must(err)
	r.listener, r.born = l, time.Now().UnixMilli()
	go r.accept(l)
	r.announce()
}

func startReplica(w *World, id, service, zone string, models ...string) *Replica {
	r := newReplica(w, id, service, zone, models...)
	r.listenAt("127.0.0.1:0")
	return r
}

// entry returns the replica's entry in the store.
func (r *Replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := map[string]any{"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": r.state, "coldLeftMs": 0, "seqNo": r.seq, "born": r.born}
	if r.models != nil {
		e["models"], e["stage"] = slices.Clone(r.models), "colocated"
	}
	return e
}

func (r *Replica) announce() {
	value, err := json.Marshal(r.entry())
	must(err)
	r.world.store.Write("servers/"+r.id, value)
}

// drain reports that the replica leaves, and withdraws its entry if silently is set.
func (r *Replica) drain(silently bool) {
	r.mu.Lock()
	r.state, r.saysLeaving = "draining", true
	r.mu.Unlock()
	if silently {
		r.world.store.Delete("servers/" + r.id)
		return
	}
	r.announce()
}

// crash ends the process: all channels are closed and new ones are refused.
func (r *Replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

// restart starts a new lifetime under the same id and address.
func (r *Replica) restart() {
	address := r.listener.Addr().String()
	l, err := net.Listen("tcp", address)
	must(err)
	r.mu.Lock()
	r.listener, r.born, r.seq, r.ended = l, time.Now().UnixMilli(), 0, false
	r.state, r.saysLeaving, r.conns = "ready", false, map[net.Conn]bool{}
	if r.models != nil {
		r.models = []model{}
	}
	r.adapterRuns, r.unloading = map[string]int{}, map[string]bool{}
	r.mu.Unlock()
	go r.accept(l)
	r.announce()
}

func (r *Replica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go func() {
			r.serveConn(c)
			_ = c.Close()
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		}()
	}
}

// serveConn serves one channel.
func (r *Replica) serveConn(c net.Conn) {
	reader := bufio.NewReaderSize(c, 64<<10)
	var previous []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if previous != nil && r.repeatsBefore(req, body, previous) {
			_, _ = c.Write(previous)
		}
		answer, keep := r.answer(c, req, body)
		r.answered.Add(1)
		if len(answer) > 0 {
			if _, err := c.Write(answer); err != nil {
				return
			}
			previous = answer
		}
		if !keep {
			return
		}
	}
}

// repeatsBefore reports whether the replica sends its previous answer on a channel once more before it answers a request.
func (r *Replica) repeatsBefore(req *http.Request, body, previous []byte) bool {
	if r.repeatBefore != nil && r.repeatBefore(req, body, previous) {
		return true
	}
	control := strings.HasPrefix(req.URL.Path, "/mulberryglade/")
	return r.world.chance(func(f *Faults) float64 {
		if control {
			return f.ControlLate
		}
		return f.ExtraLate
	})
}

// answer handles one request. It returns the bytes to write, and whether the channel stays open.
func (r *Replica) answer(c net.Conn, req *http.Request, body []byte) ([]byte, bool) {
	switch {
	case req.URL.Path == "/mulberryglade/report":
		time.Sleep(r.controlTime)
		return r.jsonAnswer(req, 200, r.report()), true
	case req.URL.Path == "/mulberryglade/order":
		time.Sleep(r.controlTime)
		if r.world.chance(func(f *Faults) float64 { return f.ControlDelay }) {
			r.orderLater(req, body)
			return nil, false
		}
		answer := r.jsonAnswer(req, r.order(req, body), nil)
		if r.world.chance(func(f *Faults) float64 { return f.ControlLose }) {
			return nil, false
		}
		return answer, true
	case req.URL.Path == "/health":
		return r.jsonAnswer(req, 200, nil), true
	}
	return r.serveClient(c, req, body)
}

// jsonAnswer returns an answer to an order, a report or a status check. It names the request if that has a name.
func (r *Replica) jsonAnswer(req *http.Request, status int, doc any) []byte {
	var content []byte
	if doc != nil {
		content, _ = json.Marshal(doc)
	}
	return r.frame(req.Header.Get("Attempt-Id"), status, "", content, "Content-Type: application/json\r\n")
}

// frame returns the bytes of a response.
func (r *Replica) frame(attempt string, status int, signature string, content []byte, extra string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if attempt != "" {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", attempt)
	}
	if signature != "" {
		fmt.Fprintf(&b, "Response-Signature: %s\r\n", signature)
	}
	r.mu.Lock()
	if r.saysLeaving {
		b.WriteString("Server-Leaving: 1\r\n")
	}
	r.mu.Unlock()
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n", extra, len(content))
	b.Write(content)
	return b.Bytes()
}

func (r *Replica) report() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{"stage": "colocated", "models": slices.Clone(r.models), "busy": time.Now().Before(r.busyUntil), "seqNo": r.seq, "born": r.born,
		"queued": 0, "running": r.running, "kvUsed": 0, "kvTotal": 90000, "handles": 0}
}

const weightsMb, modelMb, adapterSlots = 230000, 72700, 8

// orderDoc is the body of an order.
type orderDoc struct {
	Operation, Model, Adapter, Holder string
	Expected                          *int64
	FenceToken                        int64
}

// order carries out an order.
func (r *Replica) order(req *http.Request, body []byte) int {
	var o orderDoc
	status := http.StatusBadRequest
	if json.Unmarshal(body, &o) == nil && o.Holder != "" {
		status = r.carryOut(req.Header.Get("Target-Instance"), o.Operation, o.Model, o.Adapter, o.Expected)
	}
	r.recordOrder(&o, status)
	return status
}

// recordOrder records the arrival of an order. The status is zero if it gets no answer.
func (r *Replica) recordOrder(o *orderDoc, status int) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	r.world.orders = append(r.world.orders, OrderSeen{At: time.Now(), Replica: r.id, Holder: o.Holder, Token: o.FenceToken,
		Description: strings.Join([]string{o.Operation, o.Model, o.Adapter}, " "), Status: status})
}

// orderLater carries out an order 2 to 12 seconds later, unless the replica has ended by then.
func (r *Replica) orderLater(req *http.Request, body []byte) {
	var o orderDoc
	if json.Unmarshal(body, &o) != nil {
		return
	}
	r.recordOrder(&o, 0)
	r.mu.Lock()
	born := r.born
	r.mu.Unlock()
	r.world.mu.Lock()
	delay := time.Duration(2000+r.world.random.IntN(10000)) * time.Millisecond
	r.world.mu.Unlock()
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		same := r.born == born && !r.ended
		r.mu.Unlock()
		if same {
			r.carryOut(req.Header.Get("Target-Instance"), o.Operation, o.Model, o.Adapter, o.Expected)
		}
	})
}

func (r *Replica) carryOut(target, operation, name, adapter string, expected *int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if target != "" && target != r.id {
		return http.StatusMisdirectedRequest
	}
	if now.Before(r.busyUntil) || expected != nil && *expected != r.seq {
		return http.StatusConflict
	}
	at := slices.IndexFunc(r.models, func(m model) bool { return m.Name == name })
	switch {
	case operation == "model_load" && adapter == "" && at >= 0, operation == "model_unload" && at < 0:
		return http.StatusOK
	case operation == "model_load" && adapter == "":
		if (len(r.models)+1)*modelMb > weightsMb {
			go r.world.note("LIMIT: %s ordered to load %s beyond its memory", r.id, name)
		}
		r.seq++
		r.busyUntil = now.Add(time.Second)
		born := r.born
		time.AfterFunc(time.Second, func() {
			r.mu.Lock()
			if r.born != born || r.ended {
				r.mu.Unlock()
				return
			}
			r.models = append(slices.Clone(r.models), model{Name: name, Version: 1, Adapters: []string{}})
			r.mu.Unlock()
			r.announce()
		})
		return http.StatusAccepted
	case operation == "model_unload" && adapter == "":
		r.seq++
		r.models = slices.Delete(slices.Clone(r.models), at, at+1)
		go r.announce()
		return http.StatusAccepted
	case at < 0:
		return http.StatusBadRequest
	}
	return r.carryOutAdapter(operation == "model_load", at, adapter)
}

// carryOutAdapter carries out an order for an adapter of the model at an index of models. It requires mu. An adapter that
// a request uses is unloaded when its runs have finished; until then it takes up its place. Orders for adapters do not
// make the replica busy.
func (r *Replica) carryOutAdapter(load bool, at int, adapter string) int {
	name := r.models[at].Name + "/" + adapter
	held := slices.Contains(r.models[at].Adapters, adapter)
	switch {
	case load && held && !r.unloading[name], !load && (!held || r.unloading[name]):
		return http.StatusOK
	case load && held:
		delete(r.unloading, name)
		r.seq++
		return http.StatusAccepted
	case load:
		r.loadAdapter(at, adapter)
		return http.StatusAccepted
	}
	r.seq++
	if r.adapterRuns[name] > 0 && !instantUnload {
		r.unloading[name] = true
		return http.StatusAccepted
	}
	r.dropAdapter(name)
	return http.StatusOK
}

// instantUnload makes replicas unload adapters at once although requests use them.
var instantUnload = os.Getenv("INSTANT_UNLOAD") != ""

// loadAdapter requires mu. A replica that is ordered to load more than it has places for crashes.
func (r *Replica) loadAdapter(at int, adapter string) {
	var held []string
	for _, m := range r.models {
		for _, a := range m.Adapters {
			held = append(held, fmt.Sprintf("%s/%s with %d runs", m.Name, a, r.adapterRuns[m.Name+"/"+a]))
		}
	}
	r.seq++
	if len(held)+1 > adapterSlots {
		r.crashed = true
		go func() {
			r.world.note("LIMIT: %s is ordered to load adapter %s, and has %d places: %s", r.id, adapter, adapterSlots, strings.Join(held, ", "))
			r.crash()
		}()
		return
	}
	models := slices.Clone(r.models)
	models[at].Adapters = append(slices.Clone(models[at].Adapters), adapter)
	r.models = models
}

// dropAdapter requires mu.
func (r *Replica) dropAdapter(name string) {
	delete(r.unloading, name)
	modelName, adapter, _ := strings.Cut(name, "/")
	models := slices.Clone(r.models)
	for i := range models {
		if models[i].Name == modelName {
			models[i].Adapters = slices.DeleteFunc(slices.Clone(models[i].Adapters), func(a string) bool { return a == adapter })
		}
	}
	r.models = models
}

func (r *Replica) arrived(attempt string, status int, busyUntil time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{At: time.Now(), Attempt: attempt, Status: status, busyUntil: busyUntil})
}

// serveClient serves a client's request.
func (r *Replica) serveClient(c net.Conn, req *http.Request, body []byte) ([]byte, bool) {
	attempt := req.Header.Get("Attempt-Id")
	if target := req.Header.Get("Target-Instance"); target != "" && target != r.id {
		return r.frame(attempt, http.StatusMisdirectedRequest, "", nil, "Not-Executed: 1\r\nInstance-Id: "+r.id+"\r\n"), true
	}
	if name, _, _ := strings.Cut(req.Header.Get("Model"), "/"); name != "" && !r.holds(req.Header.Get("Model")) {
		return r.frame(attempt, http.StatusMisdirectedRequest, "", nil, "Not-Executed: 1\r\nInstance-Id: "+r.id+"\r\n"), true
	}
	r.mu.Lock()
	full := r.running >= r.slots
	wait := time.Until(r.retryAfterTo)
	if !full && wait <= 0 {
		r.running++
		r.adapterRuns[req.Header.Get("Model")]++
	}
	r.mu.Unlock()
	if wait > 0 {
		r.arrived(attempt, http.StatusServiceUnavailable, time.Now().Add(wait))
		return r.frame(attempt, http.StatusServiceUnavailable, "", nil, fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %.3f\r\n", wait.Seconds())), true
	}
	if full || r.world.chance(func(f *Faults) float64 { return f.Shed }) {
		if !full {
			r.release(req.Header.Get("Model"))
		}
		r.arrived(attempt, http.StatusServiceUnavailable, time.Time{})
		return r.frame(attempt, http.StatusServiceUnavailable, "", nil, "Not-Executed: 1\r\n"), true
	}
	defer r.release(req.Header.Get("Model"))
	run := r.beginRun(attempt, req, body)
	defer func() {
		r.world.mu.Lock()
		run.End = time.Now()
		r.world.mu.Unlock()
	}()
	if strings.HasPrefix(req.URL.Path, "/stream") || strings.HasPrefix(req.URL.Path, "/resume") {
		return nil, r.stream(c, req, run)
	}
	return r.plain(run)
}

func (r *Replica) holds(wanted string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, adapter, _ := strings.Cut(wanted, "/")
	for _, m := range r.models {
		if m.Name == name {
			return adapter == "" || slices.Contains(m.Adapters, adapter) && !r.unloading[wanted]
		}
	}
	return false
}

func (r *Replica) release(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if !strings.Contains(model, "/") {
		return
	}
	r.adapterRuns[model]--
	if r.unloading[model] && r.adapterRuns[model] == 0 {
		r.dropAdapter(model)
	}
}

func (r *Replica) beginRun(attempt string, req *http.Request, body []byte) *Run {
	r.arrived(attempt, http.StatusOK, time.Time{})
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	run := &Run{Attempt: attempt, Replica: r.id, Service: r.service, Start: time.Now(), Header: req.Header,
		Target: req.Method + " " + req.RequestURI, Body: string(body), Status: 200,
		Signature: fmt.Sprintf("%s.%d", r.id, len(r.world.runs))}
	r.world.runs = append(r.world.runs, run)
	return run
}

func plainBody(attempt string) []byte {
	return bytes.Repeat([]byte("answer to "+attempt+"\n"), 30)
}

func (r *Replica) plain(run *Run) ([]byte, bool) {
	time.Sleep(r.workTime)
	w := r.world
	if w.chance(func(f *Faults) float64 { return f.Fail }) {
		run.Status = 500
		return r.frame(run.Attempt, 500, run.Signature, []byte("failed "+run.Attempt), ""), true
	}
	if w.chance(func(f *Faults) float64 { return f.Lose }) {
		return nil, false
	}
	answer := r.frame(run.Attempt, 200, run.Signature, plainBody(run.Attempt), "")
	switch {
	case w.chance(func(f *Faults) float64 { return f.Truncate }):
		return answer[:len(answer)/2], false
	case w.chance(func(f *Faults) float64 { return f.Extra }):
		return append(answer, answer...), true
	case w.chance(func(f *Faults) float64 { return f.Unframed }):
		head, content, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
		index := bytes.Index(head, []byte("Content-Length"))
		return append(append(slices.Clone(head[:index]), "Connection: close\r\n\r\n"...), content...), false
	}
	return answer, true
}

func eventCount(attempt string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(attempt))
	return 3 + int(h.Sum32()%20)
}

func event(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, attempt, n)
}

// eventsOfLongStream is the number of events of a stream that must not be resumed, if Replica.eventsOfStream is set.
const eventsOfLongStream = 100

// stream writes the events of a stream and returns whether the channel stays open.
func (r *Replica) stream(c net.Conn, req *http.Request, run *Run) bool {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	run.firstEvent = last + 1
	time.Sleep(r.workTime)
	head := r.frame(run.Attempt, 200, run.Signature, nil, "Content-Type: text/event-stream\r\n")
	head = bytes.Replace(head, []byte("Content-Length: 0"), []byte("Transfer-Encoding: chunked"), 1)
	if _, err := c.Write(head); err != nil {
		return false
	}
	total := eventCount(run.Attempt)
	if r.eventsOfStream > 0 {
		total = r.eventsOfStream
		if strings.HasPrefix(req.URL.Path, "/stream") {
			total = eventsOfLongStream
		}
	}
	run.lastEvent = total
	breakAt := 0
	if r.world.chance(func(f *Faults) float64 { return f.Lose + f.Truncate }) {
		breakAt = last + 1 + len(run.Attempt)%5
	}
	for n := last + 1; n <= total; n++ {
		time.Sleep(r.workTime)
		text := event(run.Attempt, n)
		if n == breakAt {
			_, _ = fmt.Fprintf(c, "%x\r\n%s", len(text), text[:len(text)/2])
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
