package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["emptyid"] = playEmptyID }

// reuseTraffic is how long clients send requests.
const reuseTraffic = 10 * time.Second

// playEmptyID plays an entry of another writer that has no id. It tells of a replica that is gone, whose address a replica
// of another service has now.
func playEmptyID(o options) ([]string, string) {
	w := &World{store: newStore(), random: rand.New(rand.NewPCG(o.seed, 1))}
	w.store.Write("op/config", config(1, "order-desk", ""))
	var replicas []*Replica
	for i, zone := range []string{"kathmandu-a", "lalitpur-b", "pokhara-a"} {
		replicas = append(replicas, startReplica(w, fmt.Sprintf("i-od%d", i), "order-desk", zone))
	}
	other := startReplica(w, "i-oe0", "order-desk-2", "kathmandu-a")
	replicas = append(replicas, other)
	if o.trouble {
		entry := other.entry()
		entry["service"], entry["born"] = "order-desk", time.Now().Add(-time.Hour).UnixMilli()
		value, err := json.Marshal(entry)
		must(err)
		w.note("another writer's entry under servers/ without an id: %s", value)
		w.store.Write("servers/", value)
	}
	edge := newEdge(o.dir, w.store, "edge-kathmandu-a-1", "kathmandu-a")
	edge.start()
	edge.waitReady(10 * time.Second)
	time.Sleep(time.Second)
	var answers Answers
	var clients sync.WaitGroup
	started := time.Now()
	for i := range 6 {
		clients.Add(1)
		crng := rand.New(rand.NewPCG(o.seed, uint64(100+i)))
		go func() {
			defer clients.Done()
			c := &Client{edge: edge}
			defer c.close()
			for time.Since(started) < reuseTraffic {
				answers.add(c.do("POST", "/once/x", "order", 3*time.Second))
				time.Sleep(time.Duration(100+crng.IntN(400)) * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	edge.signal(syscall.SIGTERM)
	<-edge.exited
	broken := append(checkAnswers(w, answers.all), checkServices(w)...)
	return broken, recordOf(w, started, &answers, replicas)
}

// checkServices returns the runs of orders at a service that no configuration names for them.
func checkServices(w *World) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	for _, r := range w.runs {
		if strings.HasPrefix(r.Target, "POST /once/") && r.Service != "order-desk" {
			broken = append(broken, fmt.Sprintf("ROUTE %s %s ran at %s of %s, Target-Instance %q", r.Attempt, r.Target, r.Replica, r.Service, r.Header.Get("Target-Instance")))
		}
	}
	return broken
}
