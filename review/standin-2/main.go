// Command standin-2 has the stand-ins of the second review: the platform's store, replicas as processes of their own, and
// consumers. "standin-2 scenario NAME" plays one script with the system's own program and exits with 1 if its rule was
// broken, 0 if it held, and 2 if the script could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(exitNoRun)
	}
	switch os.Args[1] {
	case "replica":
		os.Exit(runReplica(os.Args[2:]))
	case "scenario":
		go runSpawner()
		os.Exit(runScenario(os.Args[2:]))
	}
	os.Exit(exitNoRun)
}

// world is what a scenario plays with.
type world struct {
	root, folder, ip string
	trouble          bool
	record           *record
	store            *store
	fleet            *fleet
	edges            []*edge
}

var scenarios = map[string]func(w *world) (broken bool, err error){
	"poison":     poisonScenario,
	"restore":    restoreScenario,
	"unframed":   unframedScenario,
	"bigwatch":   bigWatchScenario,
	"poisonkill": poisonKillScenario,
}

// runScenario plays the scenario args[0]; args[1] is the root of the repository, args[2] the path of the record.
func runScenario(args []string) int {
	if len(args) != 3 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 scenario NAME ROOT RECORD")
		return exitNoRun
	}
	w, err := newWorld(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	broken, err := scenarios[args[0]](w)
	w.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

func newWorld(root, recordPath string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	// Each run has loopback addresses of its own.
	network := fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
	w := &world{root: root, folder: folder, ip: network, trouble: os.Getenv("TROUBLE") != "0"}
	if w.record, err = newRecord(recordPath); err != nil {
		return nil, err
	}
	if w.store, err = newStore(network + "1"); err != nil {
		return nil, err
	}
	w.fleet = &fleet{store: w.store, record: w.record, ip: network + "2"}
	return w, nil
}

func (w *world) close() {
	for _, e := range w.edges {
		e.kill()
	}
	w.fleet.close()
	w.store.close()
	w.record.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

// startEdges starts machines in the zones and waits until all are ready.
func (w *world) startEdges(zoneNames ...string) error {
	for i, zone := range zoneNames {
		name := fmt.Sprintf("edge-%s-%d", zone, i+1)
		d, err := w.store.open(w.ip+"1", name)
		if err != nil {
			return err
		}
		e, err := newEdge(w.root, w.folder, name, zone, fmt.Sprintf("%s%d", w.ip, 10+i), d.address)
		if err != nil {
			return err
		}
		w.edges = append(w.edges, e)
		if err := e.start(w.root, w.folder); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := waitFor(20*time.Second, e.isReady); err != nil {
			return fmt.Errorf("%s is not ready: %w", e.name, err)
		}
	}
	return nil
}

func waitFor(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("condition not met within %v", timeout)
}

func route(name, kind, prefix, service string, timeoutMs, targetMs, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"priority": 1, "service": service, "maxAttempts": attempts, "sticky": kind == "streaming", "resumable": resumable, "gapTargetMs": 400,
	}
}

// config is the operator's configuration: routes and services like those on the sheet of harvest-link.
func config(version int) map[string]any {
	models := []any{}
	for _, name := range []string{"m0", "m1"} {
		models = append(models, map[string]any{
			"name": name, "weightsMb": 72700.0, "loadS": 9.0, "adapters": 0, "adapterMb": 66.0, "warmS": 1.2, "diskS": 2.4,
		})
	}
	engine := map[string]any{
		"slots": 64, "kvCapacityTokens": 144784, "hostMb": 150000.0, "diskMb": 450000.0, "models": models,
		"weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 1.1,
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("menu-plan", "streaming", "/menu/", "kitchen-assist", 5000, 1000, 2, true),
			route("supply-note", "streaming", "/note/", "kitchen-assist", 15000, 2500, 2, true),
			route("order-confirm", "non_idempotent", "/order/", "order-desk", 3000, 200, 2, false),
		},
		"services": []any{
			map[string]any{"name": "kitchen-assist", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": "order-desk", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
