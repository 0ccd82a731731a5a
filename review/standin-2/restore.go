package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// drainTime is drainMs of the sheet.
	drainTime = 2500 * time.Millisecond
	// rewriteTime is the time after the store's return in which the replicas and the operator have written again what
	// they wrote. Entries are back within about two seconds.
	rewriteTime = 2 * time.Second
	// exitTime is when the replica exits after the return of the store, 5.8 s after the removal of its entry.
	exitTime = 1300 * time.Millisecond
)

// restoreScenario: a replica that never reports that it drains leaves; its entry is removed, and it serves on for some
// seconds. Then the store is away for a moment and comes back from a copy from before the removal. DRAIN: no request
// reaches that replica later than drainMs after the machines have acknowledged that it is gone.
func restoreScenario(w *world) (bool, error) {
	type arrival struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	leaving := ""
	calls := map[string]*call{}
	// acknowledged has the machines to which a watch has returned the removal.
	acknowledged := map[string]time.Time{}
	w.fleet.onLine = func(_ *replica, id string, line replicaLine) {
		mu.Lock()
		defer mu.Unlock()
		if line.Event == "run" && id == leaving {
			arrivals = append(arrivals, arrival{line.ID, time.Unix(0, line.At)})
		}
	}
	w.store.write("op/config", config(1))
	zoneNames := []string{"kathmandu-a", "pokhara-a", "lalitpur-b"}
	var replicas []*replica
	for i := range 3 {
		r, err := w.fleet.add("order-desk", zoneNames[i], 6, false, nil, "--work", "100ms")
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	if err := w.startEdges(zoneNames...); err != nil {
		return false, err
	}
	client := newClient()
	stop := make(chan struct{})
	var clients, sends sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			e := w.edges[n%len(w.edges)]
			sends.Add(1)
			go func() {
				defer sends.Done()
				c := send(client, e, "POST", "/order/confirm", strings.Repeat("o", 600), 3*time.Second)
				w.record.add("%v", c)
				mu.Lock()
				calls[c.id] = c
				mu.Unlock()
			}()
		}
	}()
	time.Sleep(6 * time.Second)
	older := w.store.copy()
	w.record.add("store: a copy is taken")
	time.Sleep(time.Second)
	gone := replicas[0]
	mu.Lock()
	leaving = gone.id
	mu.Unlock()
	w.store.mu.Lock()
	w.store.onWatch = func(machine string, event item) {
		if event.Tombstone && event.Key == "servers/"+leaving {
			w.record.add("store: a watch of %s returns the removal of %s", machine, leaving)
			mu.Lock()
			if _, found := acknowledged[machine]; !found {
				acknowledged[machine] = time.Now()
			}
			mu.Unlock()
		}
	}
	w.store.mu.Unlock()
	removedAt := time.Now()
	gone.leave()
	w.record.add("store: the entry of %s is removed; it never said that it drains", leaving)
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.store.leave()
		w.record.add("store: away")
		time.Sleep(500 * time.Millisecond)
		w.store.restore(older)
		w.record.add("store: back from the copy, which is %.1f s old", 5.5)
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(exitTime)
	exitAt := time.Now()
	gone.kill()
	w.record.add("replica %s exits", leaving)
	time.Sleep(rewriteTime - exitTime)
	w.store.write("op/config", config(1))
	w.store.drop("servers/" + leaving)
	w.record.add("store: the operator has written again, and the entry of %s is gone", leaving)
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	sends.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, lost := 0, 0
	var first time.Time
	for _, a := range arrivals {
		c := calls[a.id]
		if c == nil {
			continue
		}
		if at, found := acknowledged[c.machine]; !found || c.sentAt.Before(at.Add(drainTime)) {
			continue
		}
		late++
		if first.IsZero() || a.at.Before(first) {
			first = a.at
		}
		if c.status != 200 {
			lost++
		}
	}
	w.record.add("result: %d requests sent later than drainMs after their machine had read the removal of %s reached it (0 allowed)", late, leaving)
	if late > 0 {
		w.record.add("result: the first %.3f s after the removal; it exited %.3f s after it; %d of them have no success", first.Sub(removedAt).Seconds(), exitAt.Sub(removedAt).Seconds(), lost)
	}
	ok := 0
	for _, c := range calls {
		if c.status == 200 {
			ok++
		}
	}
	w.record.add("result: %d requests, %d served", len(calls), ok)
	if ok*10 < len(calls)*8 {
		return false, fmt.Errorf("only %d of %d requests were served", ok, len(calls))
	}
	return late > 0, nil
}
