package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replicaLine is one line that a replica writes to its standard output.
type replicaLine struct {
	At    int64    `json:"at"` // Unix nanoseconds
	Event string   `json:"event"`
	ID    string   `json:"id,omitempty"`
	Note  string   `json:"note,omitempty"`
	SeqNo int64    `json:"seqNo"`
	Held  []string `json:"held"`
}

// replicaProcess is a stand-in of a replica, as a process of its own.
type replicaProcess struct {
	id, poison string
	// crashAfter is the number of events that are written before a crash.
	crashAfter int
	framed     bool
	engine     bool
	pace       time.Duration
	work       time.Duration
	born       int64

	mu      sync.Mutex
	held    []string
	seqNo   int64
	busy    bool
	running int
}

// modelLoadTime is the time of a load from the replica's own disk (diskS of the configuration).
const modelLoadTime = 2400 * time.Millisecond

func runReplica(args []string) int {
	p := &replicaProcess{}
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	address := flags.String("address", "", "IP:PORT")
	flags.StringVar(&p.id, "id", "", "id")
	flags.StringVar(&p.poison, "poison", "", "prompt part that crashes the replica as it begins to write an answer")
	flags.IntVar(&p.crashAfter, "crash-after", 0, "events written before such a crash")
	flags.BoolVar(&p.framed, "framed", true, "streams are chunked")
	flags.DurationVar(&p.pace, "pace", 25*time.Millisecond, "time between events")
	flags.DurationVar(&p.work, "work", 15*time.Millisecond, "time of a plain request")
	models := flags.String("models", "", "models held at the start; an engine")
	flags.BoolVar(&p.engine, "engine", false, "serves models")
	flags.Int64Var(&p.born, "born", 0, "start, in Unix milliseconds")
	_ = flags.Parse(args)
	if *models != "" {
		p.held = strings.Split(*models, ",")
	}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	p.line("ready", "", "")
	for {
		conn, err := listener.Accept()
		if err != nil {
			return 1
		}
		go p.serve(conn)
	}
}

func (p *replicaProcess) line(event, id, note string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lineLocked(event, id, note)
}

func (p *replicaProcess) lineLocked(event, id, note string) {
	data, _ := json.Marshal(replicaLine{time.Now().UnixNano(), event, id, note, p.seqNo, p.held})
	_, _ = os.Stdout.Write(append(data, '\n'))
}

func (p *replicaProcess) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !p.answer(conn, req, body) {
			return
		}
	}
}

// answer answers one request. It returns false if the channel ends with the answer.
func (p *replicaProcess) answer(conn net.Conn, req *http.Request, body []byte) bool {
	if target := req.Header.Get("Target-Instance"); target != "" && target != p.id {
		return p.write(conn, req, 421, "Not-Executed: 1\r\n", "")
	}
	switch {
	case req.URL.Path == "/mulberryglade/report":
		return p.report(conn, req)
	case req.URL.Path == "/mulberryglade/order":
		return p.order(conn, req, body)
	}
	model, _, _ := strings.Cut(req.Header.Get("Model"), "/")
	p.mu.Lock()
	holds := slices.Contains(p.held, model)
	p.mu.Unlock()
	if p.engine && !holds {
		return p.write(conn, req, 421, "Not-Executed: 1\r\n", "")
	}
	p.line("run", req.Header.Get("Attempt-Id"), "")
	if p.engine {
		return p.stream(conn, req)
	}
	time.Sleep(p.work)
	ok := p.write(conn, req, 200, "Response-Signature: 3e1b.07\r\n", strings.Repeat("x", 800))
	p.line("ran", req.Header.Get("Attempt-Id"), "")
	return ok
}

// write writes an answer with a length.
func (p *replicaProcess) write(conn net.Conn, req *http.Request, status int, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, req.Header.Get("Attempt-Id"), p.id, headers, len(body), body)
	return err == nil
}

func (p *replicaProcess) writeJSON(conn net.Conn, req *http.Request, value any) bool {
	data, _ := json.Marshal(value)
	return p.write(conn, req, 200, "Content-Type: application/json\r\n", string(data))
}

func (p *replicaProcess) report(conn net.Conn, req *http.Request) bool {
	p.mu.Lock()
	models := []any{}
	for _, name := range p.held {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	value := map[string]any{
		"stage": "colocated", "models": models, "busy": p.busy, "seqNo": p.seqNo, "born": p.born, "queued": 0,
		"running": p.running, "kvUsed": 1000, "kvTotal": 144784, "handles": 0,
	}
	p.mu.Unlock()
	return p.writeJSON(conn, req, value)
}

func (p *replicaProcess) order(conn net.Conn, req *http.Request, body []byte) bool {
	var order struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
		FenceToken                        *int64
	}
	if json.Unmarshal(body, &order) != nil || order.Holder == "" || order.FenceToken == nil || order.Adapter != "" {
		return p.write(conn, req, 400, "", "")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	holds := slices.Contains(p.held, order.Model)
	switch {
	case p.busy || order.Expected != nil && *order.Expected != p.seqNo:
		return p.write(conn, req, 409, "", "")
	case holds == (order.Operation == "model_load"):
		return p.write(conn, req, 200, "", "")
	}
	p.seqNo++
	p.busy = true
	p.lineLocked("order", "", order.Operation+" "+order.Model)
	go p.carryOut(order.Operation, order.Model)
	return p.write(conn, req, 202, "", "")
}

func (p *replicaProcess) carryOut(operation, model string) {
	if operation == "model_load" {
		time.Sleep(modelLoadTime)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
	if operation == "model_load" {
		p.held = append(slices.Clone(p.held), model)
	} else {
		p.held = slices.DeleteFunc(slices.Clone(p.held), func(name string) bool { return name == model })
	}
	p.lineLocked("state", "", "")
}

// stream answers with events: one for two output tokens.
func (p *replicaProcess) stream(conn net.Conn, req *http.Request) bool {
	id := req.Header.Get("Attempt-Id")
	_, output, _ := strings.Cut(req.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nInstance-Id: " + p.id +
		"\r\nResponse-Signature: 3e1b.07\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
	if p.framed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return false
	}
	crashes := p.crashesOn(req.Header.Get("Prompt-Prefix"))
	for n := last + 1; n <= tokens/2; n++ {
		if crashes && n > last+p.crashAfter {
			p.crash(id)
		}
		time.Sleep(p.pace)
		if !p.event(conn, fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)) {
			p.line("cut", id, strconv.Itoa(n))
			return false
		}
	}
	p.line("ran", id, strconv.Itoa(tokens/2))
	if !p.framed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// crash ends this process at once.
func (p *replicaProcess) crash(id string) {
	p.line("crash", id, "")
	self, err := os.FindProcess(os.Getpid())
	if err == nil {
		_ = self.Kill()
	}
	select {}
}

func (p *replicaProcess) event(conn net.Conn, text string) bool {
	if p.framed {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// crashesOn reports whether a part other than the last one is that which crashes replicas.
func (p *replicaProcess) crashesOn(prefix string) bool {
	parts := strings.Split(prefix, ",")
	if p.poison == "" {
		return false
	}
	for _, part := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(part, ":"); name == p.poison {
			return true
		}
	}
	return false
}
