package main

import (
	"fmt"
	"maps"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the sheet of harvest-link-grown, whose largest configuration this scenario has.
var grownBounds = map[string]any{"contactMs": 5000, "drainMs": 4000, "configApplyMs": 4000, "recoveryS": 15, "retrySlack": 162}

const (
	// grownModels are the models of the sheet of harvest-link-grown.
	grownModels = 305
	// turnedAwayTime is how long the store turns the machine away (for_s of platform_down, how = nodes).
	turnedAwayTime   = 9 * time.Second
	changes          = 10
	grownApplyTime   = 4 * time.Second
	grownContactTime = 5 * time.Second
)

// grownRoutes returns the number of routes that big_config adds on harvest-link-grown, or ROUTES.
func grownRoutes() int {
	if n, err := strconv.Atoi(os.Getenv("ROUTES")); err == nil {
		return n
	}
	return 1400
}

// bigConfig is a configuration in which orders go to a service.
func bigConfig(version int, service string) map[string]any {
	c := config(version)
	routes := []any{route("order-confirm", "non_idempotent", "/order/", service, 6000, 400, 2, false)}
	for n := range grownRoutes() {
		name := fmt.Sprintf("r-%07d", n)
		routes = append(routes, route(name, "idempotent", fmt.Sprintf("/idle%07d/", n), "order-desk", 6000+version%2, 400, 2, false))
	}
	models := []any{}
	for n := range grownModels {
		models = append(models, map[string]any{
			"name": fmt.Sprintf("m%d", n), "weightsMb": 72700.0, "loadS": 9.0, "adapters": 2, "adapterMb": 66.0, "warmS": 1.2, "diskS": 2.4,
		})
	}
	services := []any{}
	for _, s := range c["services"].([]any) {
		described := maps.Clone(s.(map[string]any))
		if engine, found := described["engine"].(map[string]any); found {
			engine = maps.Clone(engine)
			engine["models"] = models
			described["engine"] = engine
		}
		services = append(services, described)
	}
	services = append(services, map[string]any{"name": "order-desk-2", "healthPath": "/health", "maxConnections": 430, "protocol": "h1", "tls": false})
	c["routes"], c["services"] = routes, services
	return c
}

// bigWatchScenario: the store turns one machine away while a large configuration changes ten times. CONFIG: that machine,
// in touch again, handles no request as only an older version allows.
func bigWatchScenario(w *world) (bool, error) {
	maps.Copy(bounds, grownBounds)
	var mu sync.Mutex
	ranAt := map[string]string{}
	calls := map[string]*call{}
	w.store.write("op/config", bigConfig(1, "order-desk"))
	zoneNames := []string{"kathmandu-a", "pokhara-a", "lalitpur-b"}
	for _, service := range []string{"order-desk", "order-desk-2"} {
		for i := range 3 {
			if _, err := w.fleet.add(service, zoneNames[i], 6, false, nil); err != nil {
				return false, err
			}
		}
	}
	w.fleet.onLine = func(r *replica, _ string, line replicaLine) {
		if line.Event == "run" {
			mu.Lock()
			ranAt[line.ID] = r.service
			mu.Unlock()
		}
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
			case <-time.After(50 * time.Millisecond):
			}
			e := w.edges[n%len(w.edges)]
			sends.Add(1)
			go func() {
				defer sends.Done()
				c := send(client, e, "POST", "/order/confirm", strings.Repeat("o", 600), 6*time.Second)
				mu.Lock()
				calls[c.id] = c
				w.record.add("%v, run by %q", c, ranAt[c.id])
				mu.Unlock()
			}()
		}
	}()
	time.Sleep(5 * time.Second)
	turned := w.edges[0]
	if w.trouble {
		w.store.doors[turned.name].shut.Store(true)
		w.record.add("store: turns %s away", turned.name)
	}
	begin := time.Now()
	time.Sleep(500 * time.Millisecond)
	var movedAt, lastAt time.Time
	for n := range changes {
		w.store.write("op/config", bigConfig(2+n, "order-desk-2"))
		lastAt = time.Now()
		if movedAt.IsZero() {
			movedAt = lastAt
		}
		w.record.add("operator: version %d acknowledged; orders go to order-desk-2 from version 2 on", 2+n)
		time.Sleep(800 * time.Millisecond)
	}
	time.Sleep(turnedAwayTime - time.Since(begin))
	w.store.doors[turned.name].shut.Store(false)
	back := time.Now()
	w.record.add("store: serves %s again", turned.name)
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	sends.Wait()
	from := movedAt.Add(grownApplyTime)
	if inTouch := back.Add(grownContactTime); w.trouble && inTouch.After(from) {
		from = inTouch
	}
	mu.Lock()
	defer mu.Unlock()
	old, all := map[string]int{}, map[string]int{}
	var until time.Time
	for _, c := range calls {
		if c.sentAt.Before(from) {
			continue
		}
		all[c.machine]++
		if ranAt[c.id] == "order-desk" {
			old[c.machine]++
			if c.sentAt.After(until) {
				until = c.sentAt
			}
		}
	}
	w.record.add("result: requests sent %.1f s after version 2 was acknowledged and later, all machines in touch: %v; run by the old service: %v (0 allowed)", from.Sub(movedAt).Seconds(), all, old)
	broken := len(old) > 0
	if broken {
		w.record.add("result: the last of them %.1f s after the store served the machine again, %.1f s after the last version was acknowledged", until.Sub(back).Seconds(), until.Sub(lastAt).Seconds())
	}
	if all[turned.name] == 0 {
		return false, fmt.Errorf("no requests at %s", turned.name)
	}
	return broken, nil
}
