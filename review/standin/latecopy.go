package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["latecopy"] = func(o options) ([]string, string) { return playLateCopy(o, false) }
	// The same, but each answer of a replica is sent a second time by chance, for the time and share of the site file.
	scenarios["latecopies"] = func(o options) ([]string, string) { return playLateCopy(o, true) }
}

const (
	// pairInterval is the time between two pairs of requests.
	pairInterval = 400 * time.Millisecond
	// warmUp is the time before traffic. The instance that places models begins a few seconds after its start.
	warmUp = 5 * time.Second
	// copyAfter is when the replica sends one answer a second time, after traffic has begun.
	copyAfter = 6 * time.Second
	// trafficTime is how long clients send requests.
	trafficTime = 12 * time.Second
	// lateShare and lateTime are the largest dose of extra late answers in the site file.
	lateShare = 0.03
	lateTime  = 5 * time.Second
	// orderTime is the time that a replica takes to answer an order or a report.
	orderTime = 5 * time.Millisecond
)

// playLateCopy plays a replica that sends one of its answers to orders a second time, late, at the point where the next
// answer is expected.
func playLateCopy(o options, byChance bool) ([]string, string) {
	w := &World{store: newStore(), random: rand.New(rand.NewPCG(o.seed, 1))}
	w.store.Write("op/config", config(1, "order-desk", ""))
	var replicas []*Replica
	for i, zone := range []string{"kathmandu-a", "lalitpur-b", "pokhara-a"} {
		models := [][]string{{"m0", "m1", "m2"}, {"m3", "m5", "m6"}, {"m4", "m7", "m8"}}[i]
		r := startReplica(w, fmt.Sprintf("i-ka%d", i), "kitchen-assist", zone, models...)
		r.workTime, r.eventsOfStream, r.controlTime = 10*time.Millisecond, 5, orderTime
		replicas = append(replicas, r)
	}
	started := time.Now()
	var once sync.Once
	if o.trouble && byChance {
		replicas[0].repeatBefore = func(*http.Request, []byte, []byte) bool {
			at := time.Since(started) - warmUp - copyAfter
			return at > 0 && at < lateTime && w.chance(func(*Faults) float64 { return lateShare })
		}
	}
	if o.trouble && !byChance {
		replicas[0].repeatBefore = func(req *http.Request, body, previous []byte) bool {
			repeat := false
			if time.Since(started) > warmUp+copyAfter && bytes.Contains(body, []byte("model_load")) && bytes.HasPrefix(previous, []byte("HTTP/1.1 200")) {
				once.Do(func() {
					repeat = true
					w.note("%s has given %d answers in %.1f s of traffic and sends the previous one again before it answers %s",
						replicas[0].id, replicas[0].answered.Load(), (time.Since(started) - warmUp).Seconds(), body)
				})
			}
			return repeat
		}
	}
	edge := newEdge(o.dir, w.store, "edge-kathmandu-a-1", "kathmandu-a")
	edge.start()
	edge.waitReady(10 * time.Second)
	time.Sleep(warmUp)
	var answers Answers
	var clients sync.WaitGroup
	for range 3 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &Client{edge: edge}
			defer c.close()
			for time.Since(started) < warmUp+trafficTime {
				answers.add(c.do("POST", "/stream/x", "plan", 15*time.Second, "Model", "m0", "Token-Count", "1110,200"))
			}
		}()
	}
	for n := 0; time.Since(started) < warmUp+trafficTime; n++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &Client{edge: edge}
			defer c.close()
			answers.add(c.do("POST", "/resume/x", "note", 15*time.Second, "Model", fmt.Sprintf("m2/a%d", 1+n%adapters),
				"Token-Count", "1110,10", "Prompt-Prefix", fmt.Sprintf("5c1e07a2:210,%x:900", 0x1000+n)))
		}()
		if n%2 == 1 {
			time.Sleep(pairInterval)
		}
	}
	clients.Wait()
	edge.signal(syscall.SIGTERM)
	<-edge.exited
	return checkAnswers(w, answers.all), recordOf(w, started, &answers, replicas)
}

// recordOf returns what was sent, answered and run.
func recordOf(w *World, started time.Time, answers *Answers, replicas []*Replica) string {
	var text strings.Builder
	for _, r := range replicas {
		fmt.Fprintf(&text, "%s gave %d answers\n", r.id, r.answered.Load())
	}
	for _, n := range w.notes {
		fmt.Fprintln(&text, n)
	}
	cut := 0
	for _, a := range answers.all {
		if a.Status == http.StatusOK && !a.Complete {
			cut++
		}
	}
	fmt.Fprintf(&text, "%d answers that had begun were broken off\n", cut)
	fmt.Fprintf(&text, "started about %s\norders as they reached the replicas:\n", started.Format("15:04:05.000"))
	for _, order := range w.orders {
		fmt.Fprintf(&text, "%s  %s  %s  from %s token %d: %d\n", order.At.Format("15:04:05.000"), order.Replica, order.Description, order.Holder, order.Token, order.Status)
	}
	fmt.Fprintln(&text, "runs:")
	for _, r := range w.runs {
		fmt.Fprintf(&text, "%s  %s at %s: %s %s until %s\n", r.Start.Format("15:04:05.000"), r.Attempt, r.Replica, r.Target, r.Header.Get("Model"), r.End.Format("05.000"))
	}
	fmt.Fprintln(&text, "answers:")
	for _, a := range answers.all {
		fmt.Fprintf(&text, "%s  %s  status %d complete %v after %.3f s %s\n", a.SentAt.Format("15:04:05.000"), a.Attempt, a.Status, a.Complete, a.EndedAt.Sub(a.SentAt).Seconds(), a.Err)
	}
	return text.String()
}
