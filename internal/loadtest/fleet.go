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
	readyTimeout  = time.Minute
	readyInterval = 50 * time.Millisecond
	stopTimeout   = 30 * time.Second
	filePrivate   = 0o600
)

// Instance is one daemon process.
type Instance struct {
	Settings settings.Settings
	process  *exec.Cmd
	log      *os.File
	exited   chan error
	// ended is true once the process was killed or stopped; a replaced one remains in the fleet for its usage.
	ended bool
}

// Fleet is a set of daemon processes. It is safe for concurrent use, each instance by one goroutine at a time. Only the load tool starts processes; the system itself never does.
type Fleet struct {
	// Binary is the daemon's executable; Folder takes settings and logs.
	Binary string
	Folder string

	mu        sync.Mutex
	instances []*Instance
}

// All returns the instances in the order of their start.
func (f *Fleet) All() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances)
}

// Start starts a daemon with the settings, whose ports must be fixed.
func (f *Fleet) Start(s settings.Settings) (*Instance, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	path := filepath.Join(f.Folder, s.InstanceID+".json")
	if err := os.WriteFile(path, text, filePrivate); err != nil {
		return nil, errors.WithStack(err)
	}
	log, err := os.OpenFile(filepath.Join(f.Folder, s.InstanceID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePrivate)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	instance := &Instance{Settings: s, log: log, exited: make(chan error, 1)}
	instance.process = exec.Command(f.Binary, "--settings", path)
	instance.process.Stderr = log
	// A load tool that crashes must not leave daemons behind, which would keep the ports.
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

// WaitReady waits until the instance is ready.
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

// Kill ends the process at once, as a crash does.
func (i *Instance) Kill() {
	i.ended = true
	_ = i.process.Process.Kill()
	i.exited <- <-i.exited
}

// Pause and Resume freeze the process and let it go on.
func (i *Instance) Pause() error {
	return errors.WithStack(i.process.Process.Signal(syscall.SIGSTOP))
}

// Resume lets a paused process go on.
func (i *Instance) Resume() error {
	return errors.WithStack(i.process.Process.Signal(syscall.SIGCONT))
}

// Terminate asks for a graceful shutdown and waits for its end.
func (i *Instance) Terminate() error {
	i.ended = true
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

// MaxRSS returns the largest resident memory of a running process in bytes, zero for an ended one. The usage of an ended
// process is no substitute: it counts the memory that the load tool had when it started the process.
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
	const kilobyte = 1024
	amount, _ := strconv.ParseInt(fields[0], 10, 64)
	return amount * kilobyte
}

// CPUTime returns the processor time that the instances have used so far, ended ones included.
func (f *Fleet) CPUTime() time.Duration {
	total := time.Duration(0)
	for _, i := range f.All() {
		total += i.cpuTime()
	}
	return total
}

// cpuTime reads the times of a running process from the kernel.
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

// parseCPUTime adds the user and system time of a stat file. The fields after the command's closing parenthesis begin with
// the state, which is field 3; the times are fields 14 and 15, in ticks of 10 ms.
func parseCPUTime(stat string) time.Duration {
	const tick = 10 * time.Millisecond
	rest := stat[strings.LastIndex(stat, ")")+1:]
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * tick
}

// Stop ends all instances gracefully and returns the first error.
func (f *Fleet) Stop() error {
	p := pool.New().WithErrors().WithFirstError()
	for _, i := range f.All() {
		p.Go(func() error {
			defer i.log.Close()
			if i.ended {
				return nil
			}
			return i.Terminate()
		})
	}
	return p.Wait()
}
