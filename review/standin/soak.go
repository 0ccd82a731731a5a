package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

type options struct {
	dir     string
	seed    uint64
	trouble bool
}

// scenarios maps names to functions that play a deployment and return the broken rules and a record.
var scenarios = map[string]func(options) ([]string, string){}

func init() { scenarios["soak"] = playSoak }

// playSoak plays random disruptions.
func playSoak(o options) ([]string, string) {
	rng := rand.New(rand.NewPCG(o.seed, 7))
	w := &World{store: newStore(), random: rand.New(rand.NewPCG(o.seed, 1))}
	var edges []*Edge
	version := 1
	w.store.Write("op/config", config(version, "order-desk", ""))
	var replicas []*Replica
	places := []string{"kathmandu-a", "lalitpur-b", "pokhara-a"}
	for i, zone := range places {
		replicas = append(replicas, startReplica(w, fmt.Sprintf("i-od%d", i), "order-desk", zone))
		replicas = append(replicas, startReplica(w, fmt.Sprintf("i-oe%d", i), "order-desk-2", zone))
		replicas = append(replicas, startReplica(w, fmt.Sprintf("i-ka%d", i), "kitchen-assist", zone, "m0", fmt.Sprintf("m%d", 1+i)))
	}
	for i, zone := range places {
		e := newEdge(o.dir, w.store, fmt.Sprintf("edge-%d", i+1), zone)
		e.start()
		edges = append(edges, e)
	}
	for _, e := range edges {
		e.waitReady(10 * time.Second)
	}
	var answers Answers
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 18 {
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
				c.edge = edges[i%3]
				answers.add(randomRequest(c, crng))
				if crng.IntN(20) == 0 {
					c.close()
				}
			}
		}()
	}
	if o.trouble {
		w.mu.Lock()
		w.faults = Faults{Shed: 0.05 * rng.Float64(), Fail: .05 * rng.Float64(), Lose: .08 * rng.Float64(), Truncate: .05 * rng.Float64(), Extra: .05 * rng.Float64(), ExtraLate: .1 * rng.Float64(), Unframed: .05 * rng.Float64()}
		if rng.IntN(2) == 0 {
			w.faults.ControlLose, w.faults.ControlDelay = 0.1*rng.Float64(), 0.2*rng.Float64()
		}
		w.mu.Unlock()
	}
	end := time.Now().Add(30 * time.Second)
	for o.trouble && time.Now().Before(end) {
		time.Sleep(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
		e := edges[rng.IntN(3)]
		r := replicas[rng.IntN(len(replicas))]
		switch rng.IntN(14) {
		case 0:
			w.note("SIGTERM %s", e.name)
			e.signal(syscall.SIGTERM)
			go func() { <-e.exited; e.start() }()
		case 1:
			w.note("SIGKILL %s", e.name)
			if e.running() {
				e.kill()
				e.start()
			}
		case 2:
			w.note("freeze %s", e.name)
			e.signal(syscall.SIGSTOP)
			p := e.cmd.Process
			time.AfterFunc(time.Duration(rng.IntN(5000))*time.Millisecond, func() { _ = p.Signal(syscall.SIGCONT) })
		case 3, 4:
			how := []string{downBusy, downSilent, downReset}[rng.IntN(3)]
			w.note("store %s for %s", how, e.name)
			w.store.setDown(e.name, how)
			time.AfterFunc(time.Duration(rng.IntN(6000))*time.Millisecond, func() { w.store.setDown(e.name, "") })
		case 5:
			w.note("history dropped")
			w.store.compact()
		case 6, 7:
			version += 1 + rng.IntN(3)
			to := []string{"order-desk", "order-desk-2"}[rng.IntN(2)]
			w.note("config %d moved to %s", version, to)
			w.store.Write("op/config", config(version, to, ""))
		case 8, 9:
			w.note("crash %s", r.id)
			r.crash()
			time.AfterFunc(time.Duration(rng.IntN(3000))*time.Millisecond, r.restart)
			time.Sleep(3 * time.Second)
		case 10:
			w.note("drain %s", r.id)
			r.drain(rng.IntN(2) == 0)
			time.Sleep(4 * time.Second)
			r.crash()
			time.Sleep(200 * time.Millisecond)
			r.restart()
		case 12, 13:
			w.note("store loses answers")
			w.store.mu.Lock()
			w.store.lost, w.store.late = 0.35*rng.Float64(), 0.35*rng.Float64()
			w.store.mu.Unlock()
			time.AfterFunc(4500*time.Millisecond, func() {
				w.store.mu.Lock()
				w.store.lost, w.store.late = 0, 0
				w.store.mu.Unlock()
			})
		case 11:
			w.note("SIGHUP %s", e.name)
			e.signal(syscall.SIGHUP)
		}
	}
	if !o.trouble {
		time.Sleep(8 * time.Second)
	}
	close(stop)
	clients.Wait()
	for _, e := range edges {
		e.signal(syscall.SIGCONT)
		e.kill()
	}
	broken := checkAnswers(w, answers.all)
	counts := map[string]int{}
	for _, a := range answers.all {
		counts[fmt.Sprintf("%s %d", a.Path, a.Status)]++
	}
	text := fmt.Sprintf("answers %v, runs %d, orders %d\n", counts, len(w.runs), len(w.orders))
	for _, n := range w.notes {
		text += n + "\n"
	}
	for _, order := range w.orders {
		text += fmt.Sprintf("%s %s %s %s token %d: %d\n", order.At.Format("15:04:05.000"), order.Replica, order.Description, order.Holder, order.Token, order.Status)
	}
	for _, b := range broken {
		text += "broken: " + b + "\n"
	}
	return broken, text
}

func randomRequest(c *Client, rng *rand.Rand) *Answer {
	body := fmt.Sprintf("order %d", rng.Int())
	llm := []string{"Model", fmt.Sprintf("m%d", []int{0, 0, 0, 1, 2, 3, 4, 5, 6, 7}[rng.IntN(10)]), "Token-Count", "800,40", "Prompt-Prefix", fmt.Sprintf("5c1e07a2:400,%x:400", rng.IntN(1000))}
	if rng.IntN(3) == 0 {
		llm[1] = fmt.Sprintf("m0/a%d", 1+rng.IntN(20))
	}
	switch rng.IntN(5) {
	case 0:
		return c.do("POST", "/once/x?y=%20", body, 3*time.Second, "Hold", "5", "Kv-From", "1")
	case 1:
		return c.do("GET", "/twice/x", "", 3*time.Second)
	case 2:
		return c.do("GET", "/moved/x", "", 3*time.Second)
	case 3:
		return c.do("POST", "/stream/x", body, 6*time.Second, llm...)
	default:
		return c.do("POST", "/resume/x", body, 6*time.Second, llm...)
	}
}
