package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Edge is one process of the program under review.
type Edge struct {
	name, zone               string
	callerAddress, readyAddr string
	settingsPath, logPath    string
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

// started lists all processes that were started.
var (
	startedMu sync.Mutex
	started   []*os.Process
)

// killEdges ends the processes that still run.
func killEdges() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
}

func freePort(network string) string {
	if network == "udp" {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		must(err)
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

var zones = map[string]string{"kathmandu-a": "bagmati", "lalitpur-b": "bagmati", "pokhara-a": "gandaki"}

// newEdge writes the settings of an instance, with the bounds of the site harvest-link.
func newEdge(dir string, store *Store, name, zone string) *Edge {
	e := &Edge{name: name, zone: zone, callerAddress: freePort("tcp"), readyAddr: freePort("tcp"),
		settingsPath: filepath.Join(dir, name+".json"), logPath: filepath.Join(dir, name+".log")}
	settings := map[string]any{
		"schemaVersion": 1, "instanceId": name, "dataCentre": zone, "region": zones[zone],
		"callerAddress": e.callerAddress, "readyAddress": e.readyAddr, "exchangeAddress": freePort("udp"),
		"metricsAddress": freePort("tcp"), "storeAddress": store.listen(name), "regions": zones, "memoryMb": 284,
		"bounds": map[string]any{"shutdownSeconds": 8, "leavingMs": 2500, "configurationMs": 2500, "retryRatio": 0.2, "retrySlack": 54,
			"retryWindowSeconds": 10, "placementLeaseMs": 3000, "weightStoreWindowSeconds": 5, "weightStoreOverage": 1.1},
	}
	content, err := json.Marshal(settings)
	must(err)
	must(os.WriteFile(e.settingsPath, content, 0o600))
	return e
}

// start starts the process with the command of the deploy file.
func (e *Edge) start() {
	log, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(edgeProgram, "--settings", e.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	startedMu.Lock()
	started = append(started, cmd.Process)
	startedMu.Unlock()
	exited := make(chan struct{})
	e.cmd, e.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (e *Edge) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

func (e *Edge) running() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

func (e *Edge) kill() {
	e.signal(syscall.SIGKILL)
	<-e.exited
}

func (e *Edge) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.readyAddr + "/mulberryglade/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *Edge) waitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.ready() {
			return
		}
	}
	fatal(fmt.Errorf("%s is not ready", e.name))
}
