package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["statements"] = playStatements }

// lifetime is one lifetime of a replica, and what it said.
type lifetime struct {
	replica string
	from    time.Time
}

// playStatements plays replicas that say in their answers that they leave or are busy, while the store is at times away.
func playStatements(o options) ([]string, string) {
	rng := rand.New(rand.NewPCG(o.seed, 7))
	w := &World{store: newStore(), random: rand.New(rand.NewPCG(o.seed, 1))}
	w.store.Write("op/config", config(1, "order-desk", ""))
	var replicas []*Replica
	var edges []*Edge
	for i, zone := range []string{"kathmandu-a", "lalitpur-b", "pokhara-a"} {
		replicas = append(replicas, startReplica(w, fmt.Sprintf("i-od%d", i), "order-desk", zone))
		replicas = append(replicas, startReplica(w, fmt.Sprintf("i-of%d", i), "order-desk", zone))
		e := newEdge(o.dir, w.store, fmt.Sprintf("edge-%d", i+1), zone)
		e.start()
		edges = append(edges, e)
	}
	for _, e := range edges {
		e.waitReady(10 * time.Second)
	}
	time.Sleep(time.Second)
	var answers Answers
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Add(1)
		crng := rand.New(rand.NewPCG(o.seed, uint64(100+i)))
		go func() {
			defer clients.Done()
			c := &Client{edge: edges[i%3]}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(crng.IntN(60)) * time.Millisecond):
				}
				answers.add(c.do("POST", "/once/x", "order", 3*time.Second))
			}
		}()
	}
	var mu sync.Mutex
	lifetimes := []lifetime{}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond) {
		e, r := edges[rng.IntN(3)], replicas[rng.IntN(len(replicas))]
		switch rng.IntN(6) {
		case 0, 1:
			w.store.setDown(e.name, downReset)
			time.AfterFunc(time.Duration(rng.IntN(9000))*time.Millisecond, func() { w.store.setDown(e.name, "") })
		case 2:
			r.mu.Lock()
			busy := time.Now().Before(r.retryAfterTo)
			if !busy && r.state == "ready" {
				r.retryAfterTo = time.Now().Add(time.Duration(500+rng.IntN(5000)) * time.Millisecond)
			}
			r.mu.Unlock()
		case 3, 4:
			r.mu.Lock()
			ready := r.state == "ready"
			r.mu.Unlock()
			if !ready {
				continue
			}
			silently := rng.IntN(2) == 0
			w.note("leave %s %v", r.id, silently)
			r.drain(silently)
			time.AfterFunc(time.Duration(2500+rng.IntN(9000))*time.Millisecond, func() {
				w.note("gone %s", r.id)
				r.crash()
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				mu.Lock()
				lifetimes = append(lifetimes, lifetime{r.id, time.Now()})
				mu.Unlock()
				w.note("again %s", r.id)
				r.restart()
			})
		case 5:
			w.store.compact()
		}
	}
	close(stop)
	clients.Wait()
	for _, e := range edges {
		e.kill()
	}
	broken := checkAnswers(w, answers.all)
	broken = append(broken, checkStatements(replicas, lifetimes, answers.all)...)
	broken = append(broken, checkBusy(replicas, answers.all)...)
	text := fmt.Sprintf("answers %d runs %d\n", len(answers.all), len(w.runs))
	for _, n := range w.notes {
		text += n + "\n"
	}
	for _, b := range broken {
		text += b + "\n"
	}
	return broken, text
}

// checkStatements returns the requests that broke the rule of leaving replicas.
func checkStatements(replicas []*Replica, lifetimes []lifetime, answers []*Answer) []string {
	start := func(replica string, at time.Time) time.Time {
		var last time.Time
		for _, l := range lifetimes {
			if l.replica == replica && !l.from.After(at) && l.from.After(last) {
				last = l.from
			}
		}
		return last
	}
	byAttempt := map[string]*Answer{}
	for _, a := range answers {
		byAttempt[a.Attempt] = a
	}
	// toldAt is when an instance passed on the first answer in which a lifetime of a replica said that it leaves.
	toldAt := map[string]time.Time{}
	key := func(edge, replica string, at time.Time) string {
		return fmt.Sprint(edge, " ", replica, " ", start(replica, at).UnixMilli())
	}
	var broken []string
	for _, r := range replicas {
		for _, arrival := range r.arrivals {
			a := byAttempt[arrival.Attempt]
			if a == nil || !a.Leaving || !strings.HasPrefix(a.Signature, r.id+".") {
				continue
			}
			k := key(a.Edge, r.id, arrival.At)
			if at, told := toldAt[k]; !told || a.EndedAt.Before(at) {
				toldAt[k] = a.EndedAt
			}
		}
	}
	for _, r := range replicas {
		for _, arrival := range r.arrivals {
			a := byAttempt[arrival.Attempt]
			if a == nil {
				continue
			}
			if at, told := toldAt[key(a.Edge, r.id, arrival.At)]; told && a.SentAt.Sub(at) > 2500*time.Millisecond {
				broken = append(broken, fmt.Sprintf("DRAIN %s sent %s reaches %s from %s, which had passed on at %s that it leaves",
					a.Attempt, a.SentAt.Format("15:04:05.000"), r.id, a.Edge, at.Format("05.000")))
			}
		}
	}
	return broken
}

// maxWhileBusy is the number of requests that may reach a replica from an instance while it wants nothing from there.
const maxWhileBusy = 2

// checkBusy returns the times in which replicas got too many requests from an instance that they had told to wait.
func checkBusy(replicas []*Replica, answers []*Answer) []string {
	edges := map[string]string{}
	for _, a := range answers {
		edges[a.Attempt] = a.Edge
	}
	var broken []string
	for _, r := range replicas {
		for _, told := range r.arrivals {
			if told.busyUntil.IsZero() {
				continue
			}
			count := 0
			for _, later := range r.arrivals {
				if edges[later.Attempt] == edges[told.Attempt] && later.At.After(told.At.Add(500*time.Millisecond)) && later.At.Before(told.busyUntil) {
					count++
				}
			}
			if count > maxWhileBusy {
				broken = append(broken, fmt.Sprintf("BUDGET %s told %s at %s to wait until %s and got %d requests", r.id, edges[told.Attempt],
					told.At.Format("15:04:05.000"), told.busyUntil.Format("05.000"), count))
			}
		}
	}
	return broken
}
