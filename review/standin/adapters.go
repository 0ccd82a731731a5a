package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["adapters"] = playAdapters }

const (
	// usualInterval is the time between two requests of the usual traffic for a model with adapters.
	usualInterval = 500 * time.Millisecond
	// burstTenths (of the usual traffic) and burstTime are the dose of the burst: the largest of supply-note in the site file.
	burstTenths = 18
	burstTime   = 3 * time.Second
	// adapters is the number of adapters of the model.
	adapters = 15
	// streamTime is how long a stream runs: 86 events, 30 ms apart.
	eventPause, eventsOfStream = 30 * time.Millisecond, 86
)

// playAdapters plays a burst of requests for the adapters of one model, which one replica holds.
func playAdapters(o options) ([]string, string) {
	w := &World{store: newStore(), random: rand.New(rand.NewPCG(o.seed, 1))}
	w.store.Write("op/config", config(1, "order-desk", ""))
	var replicas []*Replica
	for i, zone := range []string{"kathmandu-a", "lalitpur-b", "pokhara-a"} {
		models := [][]string{{"m0", "m1", "m2"}, {"m3", "m5", "m6"}, {"m4", "m7", "m8"}}[i]
		r := startReplica(w, fmt.Sprintf("i-ka%d", i), "kitchen-assist", zone, models...)
		r.workTime, r.eventsOfStream = eventPause, eventsOfStream
		replicas = append(replicas, r)
	}
	edge := newEdge(o.dir, w.store, "edge-kathmandu-a-1", "kathmandu-a")
	edge.start()
	edge.waitReady(10 * time.Second)
	// The instance that places models begins a few seconds after its start.
	time.Sleep(5 * time.Second)
	var answers Answers
	var clients sync.WaitGroup
	started := time.Now()
	for n := 0; time.Since(started) < 14*time.Second; n++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &Client{edge: edge}
			defer c.close()
			answers.add(c.do("POST", "/resume/x", "note", 15*time.Second, "Model", fmt.Sprintf("m2/a%d", 1+n%adapters),
				"Token-Count", "1110,172", "Prompt-Prefix", fmt.Sprintf("5c1e07a2:210,%x:900", 0x1000+n)))
		}()
		interval := usualInterval
		if at := time.Since(started); o.trouble && at > 8*time.Second && at < 8*time.Second+burstTime {
			interval = usualInterval * 10 / burstTenths
		}
		time.Sleep(interval)
	}
	clients.Wait()
	edge.signal(syscall.SIGTERM)
	<-edge.exited
	return checkAnswers(w, answers.all), recordOf(w, started, &answers, replicas)
}
