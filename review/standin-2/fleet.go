package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"
)

// beatInterval is the time between two status reports of a replica (beatIntervalMs).
const beatInterval = 1200 * time.Millisecond

// replica is a replica process as the scenario sees it.
type replica struct {
	fleet         *fleet
	service, zone string
	address       string
	args          []string
	slots         int

	mu      sync.Mutex
	id      string
	born    int64
	held    []string
	seqNo   int64
	alive   bool
	silent  bool
	command *exec.Cmd
	done    chan struct{}
	stopped bool
}

// fleet starts the replicas, writes their entries and collects their lines.
type fleet struct {
	store  *store
	record *record
	ip     string

	mu       sync.Mutex
	replicas []*replica
	next     int
	onLine   func(r *replica, id string, line replicaLine)
}

func (f *fleet) add(service, zone string, slots int, engine bool, models []string, args ...string) (*replica, error) {
	port, err := freePort(f.ip)
	if err != nil {
		return nil, err
	}
	r := &replica{fleet: f, service: service, zone: zone, address: fmt.Sprintf("%s:%d", f.ip, port), slots: slots, args: args}
	if engine {
		r.args = append(r.args, "--engine")
	}
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	return r, r.start(models)
}

// start starts the process under a new id.
func (r *replica) start(models []string) error {
	r.fleet.mu.Lock()
	r.fleet.next++
	id := fmt.Sprintf("i-%06x", 0xa10000+r.fleet.next)
	r.fleet.mu.Unlock()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	args := append([]string{"replica", "--address", r.address, "--id", id, "--born", fmt.Sprint(born)}, r.args...)
	if len(models) > 0 {
		args = append(args, "--models", strings.Join(models, ","))
	}
	command := exec.Command(self, args...)
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := spawn(command); err != nil {
		return err
	}
	r.mu.Lock()
	r.id, r.born, r.held, r.seqNo, r.alive, r.silent = id, born, models, 0, true, false
	r.command, r.done = command, make(chan struct{})
	done := r.done
	r.mu.Unlock()
	go func() {
		defer close(done)
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			var line replicaLine
			if json.Unmarshal(lines.Bytes(), &line) == nil {
				r.handle(id, line)
			}
		}
		_ = command.Wait()
		r.mu.Lock()
		r.alive = false
		r.mu.Unlock()
	}()
	go r.beat(id, done)
	return nil
}

func (r *replica) handle(id string, line replicaLine) {
	r.mu.Lock()
	changed := line.SeqNo != r.seqNo || !slices.Equal(line.Held, r.held) || line.Event == "ready"
	r.seqNo, r.held = line.SeqNo, line.Held
	r.mu.Unlock()
	if changed {
		r.writeEntry()
	}
	r.fleet.record.addAt(time.Unix(0, line.At), "replica %s %s %s %s", id, line.Event, line.ID, line.Note)
	if r.fleet.onLine != nil {
		r.fleet.onLine(r, id, line)
	}
}

// beat writes the entry from time to time. After three intervals of silence it is removed.
func (r *replica) beat(id string, done chan struct{}) {
	for {
		select {
		case <-done:
			time.Sleep(3 * beatInterval)
			r.fleet.store.drop("servers/" + id)
			return
		case <-time.After(beatInterval):
			r.writeEntry()
		}
	}
}

func (r *replica) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.alive || r.silent {
		return
	}
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"coldLeftMs": 0, "seqNo": r.seqNo, "born": r.born,
	}
	if slices.Contains(r.args, "--engine") {
		models := []any{}
		for _, name := range r.held {
			models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
		}
		entry["stage"], entry["models"] = "colocated", models
		entry["available"] = map[string]any{"inMemory": []string{}, "onDisk": []string{"m0", "m1"}}
	}
	r.fleet.store.write("servers/"+r.id, entry)
}

// leave removes the entry without having said that the replica leaves; it goes on serving.
func (r *replica) leave() string {
	r.mu.Lock()
	r.silent = true
	id := r.id
	r.mu.Unlock()
	r.fleet.store.drop("servers/" + id)
	return id
}

// kill kills the process.
func (r *replica) kill() {
	r.mu.Lock()
	command, done := r.command, r.done
	r.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-done
}

func (r *replica) isAlive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.alive
}

func (f *fleet) close() {
	f.mu.Lock()
	all := slices.Clone(f.replicas)
	f.mu.Unlock()
	for _, r := range all {
		r.mu.Lock()
		r.stopped = true
		r.mu.Unlock()
		r.kill()
	}
}
