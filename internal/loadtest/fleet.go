package loadtest

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

const (
	readyTimeout    = time.Minute
	readyInterval   = 50 * time.Millisecond
	stopTimeout     = 30 * time.Second
	privateFileMode = 0o600
)

// Instance is an entry instance that runs as a daemon process.
type Instance struct {
	Settings settings.Settings
	process  *exec.Cmd
	log      *os.File
	exited   chan error
	// stopped reports whether the process was killed or terminated. A replaced instance stays in the fleet, which
	// counts its processor time.
	stopped bool
}

// Fleet is a set of daemon processes. It is safe for concurrent use, but an instance must not be used by several
// goroutines concurrently. Only the load tool starts processes; the serving system itself never does.
type Fleet struct {
	// Binary is the path of the daemon's executable.
	Binary string
	// Folder receives the settings and log files of the instances.
	Folder string

	mu        sync.Mutex
	instances []*Instance
}

// All returns all instances in start order, stopped ones included.
func (f *Fleet) All() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances)
}

// Start starts a daemon with the settings. The addresses in the settings must have fixed ports.
func (f *Fleet) Start(s settings.Settings) (*Instance, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	path := filepath.Join(f.Folder, s.InstanceID+".json")
	if err := os.WriteFile(path, text, privateFileMode); err != nil {
		return nil, errors.WithStack(err)
	}
	log, err := os.OpenFile(filepath.Join(f.Folder, s.InstanceID+".log"),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateFileMode)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	instance := &Instance{Settings: s, log: log, exited: make(chan error, 1)}
	instance.process = exec.Command(f.Binary, "--settings", path)
	instance.process.Stderr = log
	// The kernel kills the daemon when the load tool exits, since a daemon left after a crash would keep its ports.
	instance.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := instance.process.Start(); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "start %q", f.Binary)
	}
	go func() { instance.exited <- instance.process.Wait() }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, instance)
	return instance, nil
}

// WaitReady waits until the instance is ready. It returns an error if the process exits or readyTimeout passes.
func (i *Instance) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+i.Settings.AdminAddress+"/readyz", time.Second)
		if err == nil && status == fasthttp.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("instance %q is not ready; see its log", i.Settings.InstanceID)
		case err := <-i.exited:
			i.exited <- err
			return errors.Wrapf(err, "instance %q exited", i.Settings.InstanceID)
		case <-time.After(readyInterval):
		}
	}
}

// Kill kills the process without a graceful shutdown, as a crash does.
func (i *Instance) Kill() {
	i.stopped = true
	_ = i.process.Process.Kill()
	i.exited <- <-i.exited
}

// Pause suspends the process.
func (i *Instance) Pause() error {
	return errors.WithStack(i.process.Process.Signal(syscall.SIGSTOP))
}

// Resume continues a suspended process.
func (i *Instance) Resume() error {
	return errors.WithStack(i.process.Process.Signal(syscall.SIGCONT))
}

// Terminate requests a graceful shutdown and waits until the process exits. It kills the process after stopTimeout.
func (i *Instance) Terminate() error {
	i.stopped = true
	_ = i.process.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-i.exited:
		i.exited <- err
		return err
	case <-time.After(stopTimeout):
		i.Kill()
		return errors.Newf("instance %q did not stop in time and was killed", i.Settings.InstanceID)
	}
}

// MaxRSS returns the peak resident memory of a running process in bytes, or zero after it has exited. The resource
// usage of an exited process cannot be used instead: it includes the memory of the load tool at the time of the fork.
func (i *Instance) MaxRSS() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.process.Process.Pid))
	if err != nil {
		return 0
	}
	return parseMaxRSS(string(text))
}

func parseMaxRSS(status string) int64 {
	_, rest, found := strings.Cut(status, "VmHWM:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0
	}
	const bytesPerKilobyte = 1024
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes * bytesPerKilobyte
}

// CPUTime returns the total processor time of all instances, exited ones included.
func (f *Fleet) CPUTime() time.Duration {
	total := time.Duration(0)
	for _, i := range f.All() {
		total += i.cpuTime()
	}
	return total
}

// cpuTime returns the processor time of a running process from /proc, and of an exited process from its resource usage.
func (i *Instance) cpuTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.process.Process.Pid))
	if err != nil {
		if state := i.process.ProcessState; state != nil {
			return state.UserTime() + state.SystemTime()
		}
		return 0
	}
	return parseCPUTime(string(text))
}

// parseCPUTime returns the sum of user and system time in a /proc/PID/stat file. The first field after the closing
// parenthesis of the command name is the state, field 3. The times are fields 14 and 15, in ticks of 10 ms.
func parseCPUTime(stat string) time.Duration {
	const tick = 10 * time.Millisecond
	rest := stat[strings.LastIndex(stat, ")")+1:]
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	userTicks, _ := strconv.Atoi(fields[11])
	systemTicks, _ := strconv.Atoi(fields[12])
	return time.Duration(userTicks+systemTicks) * tick
}

// Stop terminates all running instances concurrently and returns the first error.
func (f *Fleet) Stop() error {
	p := pool.New().WithErrors().WithFirstError()
	for _, i := range f.All() {
		p.Go(func() error {
			defer i.log.Close()
			if i.stopped {
				return nil
			}
			return i.Terminate()
		})
	}
	return p.Wait()
}
