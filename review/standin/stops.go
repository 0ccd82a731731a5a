package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["stops"] = playStops }

// playStops stops the instances in turn while clients keep their channels in use.
func playStops(o options) ([]string, string) {
	w := &World{store: newStore(), random: rand.New(rand.NewPCG(o.seed, 1))}
	w.store.Write("op/config", config(1, "order-desk", ""))
	for i, zone := range []string{"kathmandu-a", "lalitpur-b", "pokhara-a"} {
		startReplica(w, fmt.Sprintf("i-od%d", i), "order-desk", zone).workTime = 50 * time.Millisecond
		startReplica(w, fmt.Sprintf("i-oe%d", i), "order-desk-2", zone)
		startReplica(w, fmt.Sprintf("i-ka%d", i), "kitchen-assist", zone, "m0", "m1", "m2").workTime = 60 * time.Millisecond
	}
	var edges []*Edge
	for i, zone := range []string{"kathmandu-a", "lalitpur-b", "pokhara-a"} {
		e := newEdge(o.dir, w.store, fmt.Sprintf("edge-%d", i+1), zone)
		e.start()
		edges = append(edges, e)
	}
	for _, e := range edges {
		e.waitReady(10 * time.Second)
	}
	time.Sleep(2 * time.Second)
	var answers Answers
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 60 {
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
				case <-time.After(time.Duration(crng.IntN(150)) * time.Millisecond):
				}
				var a *Answer
				llm := []string{"Model", fmt.Sprintf("m%d", crng.IntN(3)), "Token-Count", "80,40", "Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%x:40", crng.IntN(1000))}
				switch crng.IntN(3) {
				case 0:
					a = c.do("POST", "/once/x", "order", 3*time.Second)
				case 1:
					a = c.do("GET", "/twice/x", "", 3*time.Second)
				default:
					a = c.do("POST", "/resume/x", "s", 9*time.Second, llm...)
				}
				answers.add(a)
				if a.Status == 0 && a.Err != "" {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	for range 2 {
		for _, e := range edges {
			time.Sleep(2 * time.Second)
			w.note("SIGTERM %s", e.name)
			e.signal(syscall.SIGTERM)
			<-e.exited
			w.note("ended %s", e.name)
			e.start()
		}
	}
	close(stop)
	clients.Wait()
	for _, e := range edges {
		e.kill()
	}
	broken := checkAnswers(w, answers.all)
	ran := map[string]*Run{}
	for _, r := range w.runs {
		ran[r.Attempt] = r
	}
	counts := map[string]int{}
	for _, a := range answers.all {
		counts[fmt.Sprintf("%s %d %v", a.Path, a.Status, a.Complete)]++
		if r := ran[a.Attempt]; r != nil && !a.Complete {
			broken = append(broken, fmt.Sprintf("LOST %s on %s sent %s ended %s: %s, run %s to %s", a.Attempt, a.Path, a.SentAt.Format("05.000"), a.EndedAt.Format("05.000"), a.Err, r.Start.Format("05.000"), r.End.Format("05.000")))
		}
		if a.Status == 0 && a.EndedAt.Sub(a.SentAt) > 200*time.Millisecond {
			broken = append(broken, fmt.Sprintf("LOST late %s %s after %v %s", a.Attempt, a.Path, a.EndedAt.Sub(a.SentAt), a.Err))
		}
	}
	text := fmt.Sprintf("%v\n", counts)
	for _, n := range w.notes {
		text += n + "\n"
	}
	for _, b := range broken {
		text += b + "\n"
	}
	return broken, text
}
