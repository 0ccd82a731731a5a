package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// edge is one machine that runs the system's own program.
type edge struct {
	name, zone, ip string
	front, ready   string
	settings       string
	command        *exec.Cmd
	done           chan struct{}
	log            *os.File
}

// zones and regions of the deployment, as on the sheet of harvest-link.
var zones = map[string]any{"kathmandu-a": "bagmati", "pokhara-a": "gandaki", "lalitpur-b": "bagmati"}

// bounds are those of the sheet of harvest-link.
var bounds = map[string]any{
	"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 2500, "graceS": 8,
	"lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250, "maxSkewMs": 6000, "retryBudgetRatio": 0.2,
	"budgetWindowS": 10, "retrySlack": 54, "recoveryS": 12, "passMs": 300, "retryAfterS": 0, "fencingEnforced": false,
	"leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1,
}

// freePort returns a port of an address that is free now.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// newEdge prepares a machine: it fills in the settings template of the repository.
func newEdge(root, folder, name, zone, ip, storeAddress string) (*edge, error) {
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	e := &edge{
		name: name, zone: zone, ip: ip, settings: filepath.Join(folder, name+".json"),
		front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
	}
	fields := map[string]any{
		"nodeName": name, "zone": zone, "region": zones[zone], "ip": ip, "zones": zones,
		"listen":    map[string]any{"front": e.front, "ready": e.ready},
		"portRange": []any{ports[2], ports[2] + 15},
		"limits":    map[string]any{"memoryMb": 284, "maxFds": 4100},
		"platform":  map[string]any{"address": storeAddress},
		"bounds":    bounds,
	}
	template, err := os.ReadFile(filepath.Join(root, "platform/settings.json.tmpl"))
	if err != nil {
		return nil, err
	}
	return e, os.WriteFile(e.settings, []byte(render(string(template), fields)), 0o600)
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([^}|#/]+)(\|json)?\}\}`)
)

// render fills in a template as the platform does, as far as the template of this repository needs it.
func render(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(text string) string {
		match := sectionPattern.FindStringSubmatch(text)
		if lookup(fields, match[1]) == nil {
			return ""
		}
		return match[2]
	})
	return placeholderPattern.ReplaceAllStringFunc(template, func(text string) string {
		match := placeholderPattern.FindStringSubmatch(text)
		value := lookup(fields, match[1])
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
}

func lookup(value any, path string) any {
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			var i int
			if _, err := fmt.Sscan(name, &i); err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

// start starts the program with the command of the deploy file.
func (e *edge) start(root, folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.log = log
	e.command = exec.Command("target/mulberryglade-edged", "--settings", e.settings)
	e.command.Dir = root
	e.command.Stdout, e.command.Stderr = log, log
	if err := spawn(e.command); err != nil {
		return err
	}
	e.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(e.command, e.done)
	return nil
}

func (e *edge) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.ready + "/mulberryglade/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *edge) kill() {
	if e.command == nil {
		return
	}
	_ = e.command.Process.Kill()
	<-e.done
	_ = e.log.Close()
	e.command = nil
}
