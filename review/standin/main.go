// Command standin plays small deployments of mulberryglade-edged on loopback: it starts the program's processes and is
// itself the stand-in of the platform's store, the replicas, the operator and the clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

var edgeProgram string

// maxRunTime bounds a run.
const maxRunTime = 115 * time.Second

// The main goroutine keeps the main thread, so that the processes that it starts end with this one, however it ends.
func init() { runtime.LockOSThread() }

func must(err error) {
	if err != nil {
		fatal(err)
	}
}

// exitCannotRun is the status of a case that could not run.
const exitCannotRun = 2

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	killEdges()
	os.Exit(exitCannotRun)
}

// config is a configuration with one route of each kind.
func config(version int, movedTo string, extra string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"once","host":"h.example","prefix":"/once/","routeKind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":200,"priority":2,"service":"order-desk","maxAttempts":2},
 {"name":"twice","host":"h.example","prefix":"/twice/","routeKind":"idempotent","timeoutMs":3000,"targetLatencyMs":200,"priority":2,"service":"order-desk","maxAttempts":2},
 {"name":"moved","host":"h.example","prefix":"/moved/","routeKind":"idempotent","timeoutMs":3000,"targetLatencyMs":200,"priority":2,"service":%q,"maxAttempts":2},
 {"name":"stream","host":"h.example","prefix":"/stream/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":2500,"priority":1,"service":"kitchen-assist","maxAttempts":1,"sticky":true,"resumable":false,"gapTargetMs":400},
 {"name":"resume","host":"h.example","prefix":"/resume/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":2500,"priority":0,"service":"kitchen-assist","maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":400}%s],
 "services":[{"name":"order-desk","healthPath":"/health","maxConnections":100},{"name":"order-desk-2","healthPath":"/health","maxConnections":100},
 {"name":"kitchen-assist","healthPath":"/health","maxConnections":360,"engine":{"slots":64,"kvCapacityTokens":144784,"weightsMb":230000,"adapterSlots":8,"loadsPerS":1.1,
 "models":[{"name":"m0","weightsMb":72700,"loadS":1,"adapters":28,"adapterMb":66,"warmS":1,"diskS":1},{"name":"m1","weightsMb":72700,"loadS":1,"adapters":0,"adapterMb":66,"warmS":1,"diskS":1},
 {"name":"m2","weightsMb":72700,"loadS":1,"adapters":15,"adapterMb":66,"warmS":1,"diskS":1},{"name":"m3","weightsMb":72700,"loadS":1,"adapters":0,"adapterMb":66,"warmS":1,"diskS":1},
 {"name":"m4","weightsMb":72700,"loadS":1,"adapters":15,"adapterMb":66,"warmS":1,"diskS":1},{"name":"m5","weightsMb":72700,"loadS":1,"adapters":0,"adapterMb":66,"warmS":1,"diskS":1},
 {"name":"m6","weightsMb":72700,"loadS":1,"adapters":0,"adapterMb":66,"warmS":1,"diskS":1},{"name":"m7","weightsMb":72700,"loadS":1,"adapters":0,"adapterMb":66,"warmS":1,"diskS":1},
 {"name":"m8","weightsMb":72700,"loadS":1,"adapters":0,"adapterMb":66,"warmS":1,"diskS":1}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, movedTo, extra))
}

func main() {
	scenario := flag.String("scenario", "", "what to play")
	program := flag.String("program", "target/mulberryglade-edged", "the program under review")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "seed of random choices")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	absolute, err := filepath.Abs(*program)
	must(err)
	edgeProgram = absolute
	if _, err := os.Stat(edgeProgram); err != nil {
		fatal(err)
	}
	time.AfterFunc(maxRunTime, func() { fatal(errors.New("the run takes too long")) })
	dir, err := os.MkdirTemp("", "standin")
	must(err)
	play := scenarios[*scenario]
	if play == nil {
		fatal(fmt.Errorf("no scenario %q", *scenario))
	}
	broken, text := play(options{dir: dir, seed: *seed, trouble: *trouble})
	killEdges()
	must(os.WriteFile(*record, []byte(text), 0o600))
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	if len(broken) == 0 {
		fmt.Println("held")
		return
	}
	for _, b := range broken[:min(len(broken), 10)] {
		fmt.Println("broken:", b)
	}
	os.Exit(1)
}
