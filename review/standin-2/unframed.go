package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// unframedScenario: answers of streams have neither a length nor chunks. One replica crashes. ORDER: no stream ends as
// complete before its last piece.
func unframedScenario(w *world) (bool, error) {
	const pieces = 86
	var mu sync.Mutex
	ran := map[string]string{}
	running := map[*replica]int{}
	w.fleet.onLine = func(r *replica, id string, line replicaLine) {
		mu.Lock()
		defer mu.Unlock()
		switch line.Event {
		case "run":
			running[r]++
		case "ran", "cut":
			running[r]--
		}
		if line.Event == "run" || line.Event == "ran" {
			ran[line.ID] += line.Event + "@" + id + " "
		}
	}
	w.store.write("op/config", config(1))
	zoneNames := []string{"kathmandu-a", "pokhara-a", "lalitpur-b"}
	var replicas []*replica
	for i := range 9 {
		r, err := w.fleet.add("kitchen-assist", zoneNames[i%3], 64, true, []string{"m0", "m1"}, "--framed=false", "--pace", "40ms")
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	if err := w.startEdges(zoneNames...); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	client := newClient()
	var sends sync.WaitGroup
	var calls []*call
	begin := time.Now()
	killed := false
	for n := 0; time.Since(begin) < 14*time.Second; n++ {
		e := w.edges[n%len(w.edges)]
		sends.Add(1)
		go func() {
			defer sends.Done()
			prefix := fmt.Sprintf("%s:350,%08x:1110", sharedPart, 0x40000000+n)
			c := send(client, e, "POST", "/note/draft", "note", 15*time.Second, "Model", "m0", "Token-Count", fmt.Sprintf("1460,%d", 2*pieces), "Prompt-Prefix", prefix)
			w.record.add("%v", c)
			mu.Lock()
			calls = append(calls, c)
			mu.Unlock()
		}()
		if w.trouble && !killed && time.Since(begin) > 7*time.Second {
			killed = true
			// One of nine crashes, one at which streams run.
			mu.Lock()
			crashed := slices.MaxFunc(replicas, func(a, b *replica) int { return running[a] - running[b] })
			w.record.add("replica %s crashes, with %d streams", crashed.id, running[crashed])
			mu.Unlock()
			go func() {
				crashed.kill()
				time.Sleep(2 * time.Second)
				_ = crashed.start(nil)
			}()
		}
		time.Sleep(120 * time.Millisecond)
	}
	sends.Wait()
	mu.Lock()
	defer mu.Unlock()
	short, whole := 0, 0
	for _, c := range calls {
		switch {
		case c.status == 200 && c.whole && c.pieces < pieces:
			short++
			w.record.add("result: %s ended as complete after %d of %d pieces (%s)", c.id, c.pieces, pieces, ran[c.id])
		case c.status == 200 && c.whole:
			whole++
		}
	}
	w.record.add("result: %d streams, %d whole, %d ended as complete before their last piece (0 allowed)", len(calls), whole, short)
	if whole*10 < len(calls)*5 {
		return false, fmt.Errorf("only %d of %d streams are whole", whole, len(calls))
	}
	return short > 0, nil
}
