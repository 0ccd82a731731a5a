package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["oddentry"] = playOddEntry }

const (
	// beatInterval is the time between two beats of a replica.
	beatInterval = 1200 * time.Millisecond
	// leaveAt is when the replica says that it leaves, after traffic has begun. oddEntryAfter is the time from then on
	// until another writer's entry appears, endAfter until the replica ends.
	leaveAt       = 3 * time.Second
	oddEntryAfter = 6 * time.Second
	endAfter      = oddEntryAfter + 150*time.Millisecond
	// longWork is the longest time that an order takes.
	longWork = 110 * time.Millisecond
)

// keepBeating writes the entry of a replica again whenever it finds another one at a beat.
func (r *Replica) keepBeating() {
	for range time.Tick(beatInterval) {
		r.mu.Lock()
		ended := r.ended
		r.mu.Unlock()
		if ended {
			return
		}
		value, err := json.Marshal(r.entry())
		must(err)
		if !r.world.store.holds("servers/"+r.id, value) {
			r.announce()
		}
	}
}

// playOddEntry plays a replica that leaves and says so, and an entry of another writer under its id that lacks fields.
func playOddEntry(o options) ([]string, string) {
	w := &World{store: newStore(), random: rand.New(rand.NewPCG(o.seed, 1))}
	w.store.Write("op/config", config(1, "order-desk", ""))
	var replicas []*Replica
	for i, zone := range []string{"kathmandu-a", "lalitpur-b", "pokhara-a"} {
		r := startReplica(w, fmt.Sprintf("i-od%d", i), "order-desk", zone)
		r.workTime = longWork
		replicas = append(replicas, r)
		go r.keepBeating()
	}
	edge := newEdge(o.dir, w.store, "edge-kathmandu-a-1", "kathmandu-a")
	edge.start()
	edge.waitReady(10 * time.Second)
	time.Sleep(time.Second)
	var answers Answers
	var clients sync.WaitGroup
	started := time.Now()
	for i := range 8 {
		clients.Add(1)
		crng := rand.New(rand.NewPCG(o.seed, uint64(100+i)))
		go func() {
			defer clients.Done()
			c := &Client{edge: edge}
			defer c.close()
			for time.Since(started) < leaveAt+endAfter+3*time.Second {
				answers.add(c.do("POST", "/once/x", "order", 3*time.Second))
				time.Sleep(time.Duration(crng.IntN(100)) * time.Millisecond)
			}
		}()
	}
	time.Sleep(leaveAt)
	leaving := replicas[0]
	w.note("%s leaves", leaving.id)
	leaving.drain(false)
	time.Sleep(oddEntryAfter)
	if o.trouble {
		entry := leaving.entry()
		for _, field := range []string{"version", "coldLeftMs", "seqNo", "born"} {
			delete(entry, field)
		}
		entry["state"] = "ready"
		value, err := json.Marshal(entry)
		must(err)
		w.note("another writer's entry: %s", value)
		w.store.Write("servers/"+leaving.id, value)
	}
	time.Sleep(endAfter - oddEntryAfter)
	w.note("%s ends", leaving.id)
	leaving.crash()
	w.store.Delete("servers/" + leaving.id)
	clients.Wait()
	edge.signal(syscall.SIGTERM)
	<-edge.exited
	broken := append(checkAnswers(w, answers.all), checkStatements(replicas, nil, answers.all)...)
	return broken, recordOf(w, started, &answers, replicas)
}
