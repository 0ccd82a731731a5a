package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["freezes"] = playFreezes }

// freezeTraffic is how long clients send requests, thawSlack the bound thawSlackMs of the site.
const (
	freezeTraffic = 80 * time.Second
	thawSlack     = 300 * time.Millisecond
)

// playFreezes suspends the instance that places models again and again, or stops it, while many adapters are asked for.
func playFreezes(o options) ([]string, string) {
	rng := rand.New(rand.NewPCG(o.seed, 7))
	w := &World{store: newStore(), random: rand.New(rand.NewPCG(o.seed, 1))}
	w.store.Write("op/config", config(1, "order-desk", ""))
	var edges []*Edge
	for i, zone := range []string{"kathmandu-a", "lalitpur-b", "pokhara-a"} {
		models := [][]string{{"m0", "m1", "m2"}, {"m3", "m5", "m0"}, {"m4", "m7", "m2"}}[i]
		r := startReplica(w, fmt.Sprintf("i-ka%d", i), "kitchen-assist", zone, models...)
		r.workTime, r.eventsOfStream, r.controlTime = 5*time.Millisecond, 4, time.Millisecond
		e := newEdge(o.dir, w.store, fmt.Sprintf("edge-%d", i+1), zone)
		e.start()
		edges = append(edges, e)
	}
	for _, e := range edges {
		e.waitReady(10 * time.Second)
	}
	var answers Answers
	var clients sync.WaitGroup
	started := time.Now()
	for i := range 12 {
		clients.Add(1)
		crng := rand.New(rand.NewPCG(o.seed, uint64(100+i)))
		go func() {
			defer clients.Done()
			c := &Client{edge: edges[i%3]}
			defer c.close()
			for time.Since(started) < freezeTraffic {
				answers.add(c.do("POST", "/resume/x", "s", 2*time.Second, "Model", fmt.Sprintf("m%d/a%d", 2*crng.IntN(2), 1+crng.IntN(15)),
					"Token-Count", "80,8", "Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%x:40", crng.IntN(1000))))
				time.Sleep(time.Duration(20+crng.IntN(60)) * time.Millisecond)
			}
		}()
	}
	var thawedAt []time.Time
	for o.trouble && time.Since(started) < freezeTraffic-12*time.Second {
		time.Sleep(time.Duration(5000+rng.IntN(2000)) * time.Millisecond)
		holder, _, _ := strings.Cut(w.store.text("mulberryglade/placement"), " ")
		for _, e := range edges {
			if e.name != holder {
				continue
			}
			if rng.IntN(3) == 0 {
				w.note("SIGTERM %s", e.name)
				e.signal(syscall.SIGTERM)
				go func() { <-e.exited; e.start() }()
				break
			}
			w.note("freeze %s", e.name)
			e.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(800+rng.IntN(5000)) * time.Millisecond)
			e.signal(syscall.SIGCONT)
			thawedAt = append(thawedAt, time.Now())
		}
	}
	clients.Wait()
	for _, e := range edges {
		e.kill()
	}
	excused := func(at time.Time) bool {
		for _, thaw := range thawedAt {
			if d := at.Sub(thaw); d >= 0 && d < thawSlack {
				return true
			}
		}
		return false
	}
	var judged []OrderSeen
	for _, order := range w.orders {
		if !excused(order.At) {
			judged = append(judged, order)
		}
	}
	text := fmt.Sprintf("%d orders, %d of them judged\n", len(w.orders), len(judged))
	w.orders = judged
	broken := checkAnswers(w, answers.all)
	for _, n := range append(w.notes, broken...) {
		text += n + "\n"
	}
	return broken, text
}
