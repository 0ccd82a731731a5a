package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	sharedPart = "5c1e07a2"
	poisonPart = "91bd3f06"
	// contactTime is contactMs of the sheet.
	contactTime = 4 * time.Second
	// restartTime is how long a crashed replica is down.
	restartTime = 2 * time.Second
)

// poisonScenario: one prompt part crashes each replica that begins to write an answer on it. The answers have neither a
// length nor chunks, unless FRAMED=1. BUDGET: no more than three requests with that part reach replicas later than
// contactMs after the fifth crash.
func poisonScenario(w *world) (bool, error) {
	framed := os.Getenv("FRAMED") == "1"
	crashAfter := os.Getenv("CRASH_AFTER")
	if crashAfter == "" {
		crashAfter = "1"
	}
	var mu sync.Mutex
	poisoned := map[string]time.Time{}
	var crashes, arrivals []time.Time
	w.fleet.onLine = func(r *replica, _ string, line replicaLine) {
		mu.Lock()
		defer mu.Unlock()
		_, isPoisoned := poisoned[line.ID]
		switch {
		case line.Event == "run" && isPoisoned:
			arrivals = append(arrivals, time.Unix(0, line.At))
		case line.Event == "crash":
			crashes = append(crashes, time.Unix(0, line.At))
		}
	}
	w.store.write("op/config", config(1))
	zoneNames := []string{"kathmandu-a", "pokhara-a", "lalitpur-b"}
	for i := range 9 {
		r, err := w.fleet.add("kitchen-assist", zoneNames[i%3], 64, true, []string{"m0", "m1"}, "--poison", poisonPart, "--framed="+fmt.Sprint(framed), "--crash-after", crashAfter)
		if err != nil {
			return false, err
		}
		go restartAfterCrashes(r)
	}
	if err := w.startEdges(zoneNames...); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var calls sync.WaitGroup
	var soundMu sync.Mutex
	sound, served, soundCut := 0, 0, 0
	client := newClient()
	begin := time.Now()
	const length = 45 * time.Second
	for n := 0; time.Since(begin) < length; n++ {
		e := w.edges[n%len(w.edges)]
		calls.Add(1)
		go func() {
			defer calls.Done()
			prefix := fmt.Sprintf("%s:568,%08x:1800", sharedPart, 0x20000000+n)
			c := send(client, e, "POST", "/menu/plan", "plan", 5*time.Second, "Model", "m0", "Token-Count", "2368,22", "Prompt-Prefix", prefix)
			w.record.add("sound %v", c)
			soundMu.Lock()
			defer soundMu.Unlock()
			sound++
			if c.status == 200 && c.whole && c.pieces == 11 {
				served++
			} else if c.status == 200 || c.status == 502 || c.status == 504 {
				soundCut++
			}
		}()
		if w.trouble && n%4 == 0 {
			calls.Add(1)
			go func() {
				defer calls.Done()
				prefix := fmt.Sprintf("%s:568,%s:300,%08x:1500", sharedPart, poisonPart, 0x30000000+n)
				c := sendPoisoned(w, e, prefix, func(id string) {
					mu.Lock()
					poisoned[id] = time.Now()
					mu.Unlock()
				})
				w.record.add("poisoned %v", c)
			}()
		}
		time.Sleep(125 * time.Millisecond)
	}
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 5 {
		bound := crashes[4].Add(contactTime)
		for _, at := range arrivals {
			if at.After(bound) {
				late++
			}
		}
		w.record.add("result: fifth crash at %.3f", w.record.seconds(crashes[4]))
	}
	w.record.add("result: %d crashes; %d poisoned requests reached replicas, %d of them later than contactMs after the fifth crash (3 allowed)", len(crashes), len(arrivals), late)
	w.record.add("result: %d sound requests, %d served whole, %d begun and lost", sound, served, soundCut)
	if !w.trouble && served*10 < sound*9 {
		return false, fmt.Errorf("only %d of %d sound requests were served without trouble", served, sound)
	}
	return late > 3, nil
}

// sendPoisoned sends a request on a new channel. began is called with its id before it is sent.
func sendPoisoned(w *world, e *edge, prefix string, began func(id string)) *call {
	id := newID()
	began(id)
	return sendAs(newClient(), id, e, "POST", "/menu/plan", "plan", 5*time.Second, "Model", "m0", "Token-Count", "2368,22", "Prompt-Prefix", prefix)
}

// restartAfterCrashes starts a replica again some seconds after it has crashed, empty and under a new id.
func restartAfterCrashes(r *replica) {
	for {
		r.mu.Lock()
		done, stopped := r.done, r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
		<-done
		time.Sleep(restartTime)
		r.mu.Lock()
		stopped = r.stopped
		r.mu.Unlock()
		if stopped || r.start(nil) != nil {
			return
		}
	}
}
