package main

import (
	"fmt"
	"sync"
	"time"
)

// poisonKillScenario: requests with a prompt part that crashes replicas come in two waves; between them the processes of all
// machines are killed at the same moment and started again. BUDGET: no more than three requests with that part reach replicas
// later than contactMs after the fifth crash, sent by machines in touch.
func poisonKillScenario(w *world) (bool, error) {
	const (
		firstWave  = 12
		secondWave = 9
	)
	var mu sync.Mutex
	poisoned := map[string]bool{}
	var crashes, arrivals []time.Time
	w.fleet.onLine = func(_ *replica, _ string, line replicaLine) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case line.Event == "run" && poisoned[line.ID]:
			arrivals = append(arrivals, time.Unix(0, line.At))
		case line.Event == "crash":
			crashes = append(crashes, time.Unix(0, line.At))
		}
	}
	w.store.write("op/config", config(1))
	zoneNames := []string{"kathmandu-a", "pokhara-a", "lalitpur-b"}
	for i := range 9 {
		r, err := w.fleet.add("kitchen-assist", zoneNames[i%3], 64, true, []string{"m0", "m1"}, "--poison", poisonPart, "--crash-after", "1")
		if err != nil {
			return false, err
		}
		go restartAfterCrashes(r)
	}
	if err := w.startEdges(zoneNames...); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	client := newClient()
	stop := make(chan struct{})
	var clients, sends sync.WaitGroup
	sound, served, begunLost := 0, 0, 0
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(125 * time.Millisecond):
			}
			e := w.edges[n%len(w.edges)]
			sends.Add(1)
			go func() {
				defer sends.Done()
				prefix := fmt.Sprintf("%s:568,%08x:1800", sharedPart, 0x20000000+n)
				c := send(client, e, "POST", "/menu/plan", "plan", 5*time.Second, "Model", "m0", "Token-Count", "2368,22", "Prompt-Prefix", prefix)
				w.record.add("sound %v", c)
				mu.Lock()
				defer mu.Unlock()
				sound++
				if c.status == 200 && c.whole && c.pieces == 11 {
					served++
				} else if c.status == 200 || c.status == 502 || c.status == 504 {
					begunLost++
				}
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	wave := func(count, base int) {
		for n := range count {
			e := w.edges[n%len(w.edges)]
			sends.Add(1)
			go func() {
				defer sends.Done()
				prefix := fmt.Sprintf("%s:568,%s:300,%08x:1500", sharedPart, poisonPart, base+n)
				c := sendPoisoned(w, e, prefix, func(id string) {
					mu.Lock()
					poisoned[id] = true
					mu.Unlock()
				})
				w.record.add("poisoned %v", c)
			}()
		}
	}
	w.record.add("clients: first wave of %d requests with the part", firstWave)
	wave(firstWave, 0x30000000)
	time.Sleep(10 * time.Second)
	if w.trouble {
		w.record.add("all machines: SIGKILL")
		for _, e := range w.edges {
			_ = e.command.Process.Kill()
		}
		for _, e := range w.edges {
			e.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, e := range w.edges {
			if err := e.start(w.root, w.folder); err != nil {
				return false, err
			}
		}
		for _, e := range w.edges {
			if err := waitFor(10*time.Second, e.isReady); err != nil {
				return false, err
			}
		}
		w.record.add("all machines: started again and ready")
	}
	time.Sleep(contactTime + 3*time.Second)
	secondAt := time.Now()
	w.record.add("clients: second wave of %d requests with the part", secondWave)
	wave(secondWave, 0x31000000)
	time.Sleep(7 * time.Second)
	close(stop)
	clients.Wait()
	sends.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, lateCrashes := 0, 0
	if len(crashes) >= 5 {
		bound := crashes[4].Add(contactTime)
		w.record.add("result: fifth crash at %.3f", w.record.seconds(crashes[4]))
		for _, at := range arrivals {
			if at.After(bound) {
				late++
			}
		}
	}
	for _, at := range crashes {
		if at.After(secondAt) {
			lateCrashes++
		}
	}
	w.record.add("result: %d crashes, %d of them in the second wave; %d poisoned requests reached replicas, %d of them later than contactMs after the fifth crash (3 allowed)",
		len(crashes), lateCrashes, len(arrivals), late)
	w.record.add("result: %d sound requests, %d served whole, %d begun and lost", sound, served, begunLost)
	return late > 3, nil
}
