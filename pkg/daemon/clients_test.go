package daemon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
)

// The settings of the process that the crowds meet. Its resident memory must stay below crowdMemoryMB and its open
// descriptors at or below crowdMaxFDs, which are the limits in its settings.
const (
	crowdMemoryMB     = 128
	crowdMaxFDs       = 600
	crowdMaxBodyBytes = 1 << 20
)

// Bodies of crowdBodyBytes from crowdSenders clients take more than the memory of the process. crowdConnections is the
// number of clients that cost a connection only, more than the process has descriptors for.
const (
	crowdSenders     = 150
	crowdBodyBytes   = 900 << 10
	crowdConnections = 1500
	// crowdReaders is the number of clients that read slowly or not at all.
	crowdReaders = 60
	// mixedCrowd is the number of clients of all kinds beside which ordinary requests are answered. The process has
	// mixedCrowdMaxFDs descriptors then, so that it accepts more connections than these.
	mixedCrowd       = 300
	mixedCrowdMaxFDs = 2048
	// ordinaryClients is the number of ordinary clients beside the mixed crowd.
	ordinaryClients = 4
)

// buildDaemon builds mulberrygladed once and returns the path of the program.
var buildDaemon = sync.OnceValue(func() string {
	folder, err := os.MkdirTemp("", "gladed")
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(folder, "mulberrygladed")
	output, err := exec.Command("go", "build", "-o", path, "../../cmd/mulberrygladed").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	return path
})

var _ = AfterSuite(func() { _ = os.RemoveAll(filepath.Dir(buildDaemon())) })

// daemonProcess is the program mulberrygladed as a process of its own.
type daemonProcess struct {
	caller, admin string
	cmd           *exec.Cmd
}

// startCrowdedDaemon starts the program with the settings of the crowds, one engine and one plain service.
func startCrowdedDaemon() *daemonProcess {
	return startCrowdedDaemonWith(crowdMaxFDs)
}

func startCrowdedDaemonWith(maxFDs int) *daemonProcess {
	env := newTestEnv(testEnvOptions{preloaded: true})
	// A connection of an earlier crowd may take a free address before the process listens on it.
	for range 5 {
		if p := tryStartDaemon(env, maxFDs); p != nil {
			return p
		}
	}
	Fail("the process does not start")
	return nil
}

func tryStartDaemon(env *testEnv, maxFDs int) *daemonProcess {
	addresses, err := testkit.FreeAddresses(3)
	Expect(err).NotTo(HaveOccurred())
	p := &daemonProcess{caller: addresses[0], admin: addresses[1]}
	s := env.bed.Settings("a-1", dcA, "127.0.0.1")
	s.CallerAddress, s.AdminAddress, s.PeerAddress = addresses[0], addresses[1], addresses[2]
	s.Shutdown.GraceMs = 0
	s.Limits.BodyBytes = crowdMaxBodyBytes
	text, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	text = bytes.Replace(text, []byte(`"limits":{`), fmt.Appendf(nil, `"limits":{"memoryMb":%d,"maxFds":%d,`, crowdMemoryMB, maxFDs), 1)
	path := filepath.Join(GinkgoT().TempDir(), "settings.json")
	Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	p.cmd = exec.Command(buildDaemon(), "--settings", path)
	Expect(p.cmd.Start()).To(Succeed())
	ended := make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(ended)
	}()
	DeferCleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		// The crowd's connections need not be waited for.
		select {
		case <-ended:
		case <-time.After(time.Second):
			_ = p.cmd.Process.Kill()
			<-ended
		}
	})
	for begin := time.Now(); time.Since(begin) < 40*time.Second; time.Sleep(20 * time.Millisecond) {
		select {
		case <-ended:
			return nil
		default:
		}
		if status, err := p.ordinary(); err == nil && status == http.StatusOK {
			return p
		}
	}
	Fail("the process does not become ready")
	return nil
}

// ordinary sends one ordinary request to the plain service and returns the status.
func (p *daemonProcess) ordinary() (int, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+p.caller+"/v1/services/order-desk/", nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+memberKey)
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// peakMemoryMB returns the largest resident memory of the process so far.
func (p *daemonProcess) peakMemoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	Expect(found).To(BeTrue())
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	Expect(err).NotTo(HaveOccurred())
	return kilobytes / 1024
}

// descriptors returns the number of open descriptors of the process.
func (p *daemonProcess) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	return len(entries)
}

// crowd is a number of clients that keep their connections open until the spec ends.
type crowd struct {
	process *daemonProcess
	begin   time.Time
	clients sync.WaitGroup
	// working counts the clients that have not finished their part.
	working atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// crowdPatience bounds one write of a client, since an instance may leave bytes unread. crowdRound bounds the part of all
// clients.
const crowdPatience, crowdRound = 5 * time.Second, 40 * time.Second

// sendCrowd runs act for each of n connections and returns at once.
func sendCrowd(p *daemonProcess, n int, act func(conn net.Conn)) *crowd {
	return sendCrowdTo(p, p.caller, n, act)
}

// sendCrowdTo is sendCrowd for another address of the process.
func sendCrowdTo(p *daemonProcess, address string, n int, act func(conn net.Conn)) *crowd {
	c := &crowd{process: p, begin: time.Now()}
	DeferCleanup(c.close)
	end := c.begin.Add(crowdRound)
	for range n {
		c.working.Add(1)
		c.clients.Go(func() {
			defer c.working.Add(-1)
			conn, err := net.DialTimeout("tcp", address, crowdPatience)
			if err != nil {
				// The client does its part on a connection that takes no bytes.
				conn, _ = net.Pipe()
				_ = conn.Close()
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			act(&patientConn{Conn: conn, patience: crowdPatience, end: end})
		})
	}
	return c
}

func (c *crowd) close() {
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}

// check waits until the crowd has done its part, and requires that the process lives within its bounds and answers an
// ordinary request.
func (c *crowd) check(maxFDs int) {
	GinkgoHelper()
	p := c.process
	descriptors, queued := 0, 0
	peak, since := 0, time.Now()
	// Bytes that the crowd has written may not have been read yet: the peak must have settled.
	for c.working.Load() > 0 || time.Since(since) < time.Second && time.Since(c.begin) < 2*crowdRound {
		descriptors = max(descriptors, p.descriptors())
		bytes, err := testkit.QueuedBytes(p.caller)
		Expect(err).NotTo(HaveOccurred())
		queued = max(queued, bytes)
		if now := p.peakMemoryMB(); now > peak {
			peak, since = now, time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
	status, err := p.ordinary()
	peak = max(peak, p.peakMemoryMB())
	AddReportEntry("peak MB", peak)
	AddReportEntry("descriptors", descriptors)
	AddReportEntry("queued MB", queued>>20)
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK))
	// What the kernel holds counts as well.
	Expect(peak + queued>>20).To(BeNumerically("<", crowdMemoryMB))
	Expect(descriptors).To(BeNumerically("<=", maxFDs))
}

// meets sends a crowd and checks that the process lives within its bounds.
func (p *daemonProcess) meets(n int, act func(conn net.Conn)) {
	GinkgoHelper()
	sendCrowd(p, n, act).check(crowdMaxFDs)
}

// patientConn bounds each write by patience, and all of them by end.
type patientConn struct {
	net.Conn
	patience time.Duration
	end      time.Time
}

// Write implements net.Conn.
func (c *patientConn) Write(p []byte) (int, error) {
	deadline := time.Now().Add(c.patience)
	if c.end.Before(deadline) {
		deadline = c.end
	}
	_ = c.SetWriteDeadline(deadline)
	return c.Conn.Write(p)
}

// sendAll returns what a client does that sends all of this and then stays silent.
func sendAll(head string, body []byte) func(conn net.Conn) {
	return func(conn net.Conn) {
		if _, err := conn.Write([]byte(head)); err != nil {
			return
		}
		for rest := body; len(rest) > 0; {
			n := min(64<<10, len(rest))
			if _, err := conn.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
	}
}

// chunkedBody returns the chunks of a body, without its end.
func chunkedBody(chunk, total int) []byte {
	one := strconv.FormatInt(int64(chunk), 16) + "\r\n" + strings.Repeat("x", chunk) + "\r\n"
	return bytes.Repeat([]byte(one), total/chunk)
}

// modelCalls returns calls of a model, half of them streams, with long answers.
func modelCalls() string {
	var requests strings.Builder
	for n := range 4 {
		body := fmt.Sprintf(`{"model":"menu","messages":[{"role":"user","content":"x"}],"max_tokens":4000,"stream":%v}`, n%2 == 0)
		fmt.Fprintf(&requests, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", memberKey, len(body), body)
	}
	return requests.String()
}

// readSlowly sends calls of a model and reads their answers slowly for a while.
func readSlowly(conn net.Conn) {
	if _, err := conn.Write([]byte(modelCalls())); err != nil {
		return
	}
	piece := make([]byte, 1000)
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for range 30 {
		if _, err := conn.Read(piece); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against clients outside the limits that use up the memory or the descriptors of the process, with which the
// requests of all other clients would end. The clients have a valid key.
var _ = Describe("A process whose clients keep to no limits", Serial, func() {
	const (
		crowdHead   = "POST /v1/services/order-desk/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + memberKey + "\r\n"
		chunkedHead = crowdHead + "Transfer-Encoding: chunked\r\n\r\n"
		unknown     = "GET /v1/services/none HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + memberKey + "\r\n\r\n"
	)

	It("survives bodies in large chunks that stop short of their end", func() {
		startCrowdedDaemon().meets(crowdSenders, sendAll(chunkedHead, chunkedBody(128<<10, crowdBodyBytes)))
	})

	It("survives bodies in very small chunks that stop short of their end", func() {
		startCrowdedDaemon().meets(crowdSenders, sendAll(chunkedHead, chunkedBody(1, crowdBodyBytes)))
	})

	It("survives announced bodies that stop", func() {
		head := crowdHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdMaxBodyBytes)
		startCrowdedDaemon().meets(crowdSenders, sendAll(head, make([]byte, crowdBodyBytes)))
	})

	It("survives announced bodies far over the limit", func() {
		head := crowdHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", 8*crowdMaxBodyBytes)
		startCrowdedDaemon().meets(crowdSenders, sendAll(head, make([]byte, 8*crowdMaxBodyBytes)))
	})

	It("survives bodies far over the limit that are just sent", func() {
		first, rest := chunkedBody(100<<10, crowdBodyBytes), chunkedBody(100<<10, 8*crowdMaxBodyBytes)
		var sending sync.WaitGroup
		sending.Add(crowdSenders)
		startCrowdedDaemon().meets(crowdSenders, func(conn net.Conn) {
			sendAll(chunkedHead, first)(conn)
			sending.Done()
			// All clients are at the same point before any of them goes over the limit.
			sending.Wait()
			sendAll("", rest)(conn)
		})
	})

	It("survives heads that never end", func() {
		startCrowdedDaemon().meets(crowdConnections, sendAll(crowdHead+"Long: "+strings.Repeat("x", 12<<10), nil))
	})

	It("survives refusals that nobody reads", func() {
		startCrowdedDaemon().meets(crowdSenders, sendAll("", bytes.Repeat([]byte(unknown), 10000)))
	})

	It("survives responses and streams that are read slowly or not at all", func() {
		var started atomic.Int64
		startCrowdedDaemon().meets(crowdReaders, func(conn net.Conn) {
			if started.Add(1)%2 == 0 {
				sendAll(modelCalls(), nil)(conn)
				return
			}
			readSlowly(conn)
		})
	})

	It("survives connections without end", func() {
		startCrowdedDaemon().meets(crowdConnections, sendAll("", nil))
	})

	// Guards against clients that find the address of the health checks and use up the memory or the descriptors there, or keep
	// the checks from being answered.
	It("survives bodies that stop at the admin address, and answers health checks afterwards", func() {
		process := startCrowdedDaemon()
		head := "POST /healthz HTTP/1.1\r\nHost: h.example\r\nContent-Length: 65536\r\n\r\n"
		sendCrowdTo(process, process.admin, crowdConnections, sendAll(head, make([]byte, 60<<10))).check(crowdMaxFDs)
		client := &http.Client{Timeout: crowdPatience}
		healthy := func() error {
			resp, err := client.Get("http://" + process.admin + "/healthz")
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != http.StatusOK {
				return errors.Newf("status %d", resp.StatusCode)
			}
			return nil
		}
		Eventually(healthy).WithTimeout(crowdRound).Should(Succeed())
	})

	It("answers ordinary requests beside a mixed crowd", func() {
		process := startCrowdedDaemonWith(mixedCrowdMaxFDs)
		announced := crowdHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdMaxBodyBytes)
		farOver := crowdHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", 8*crowdMaxBodyBytes)
		acts := []func(net.Conn){
			sendAll(chunkedHead, chunkedBody(128<<10, crowdBodyBytes)),
			sendAll(chunkedHead, chunkedBody(1, crowdBodyBytes)),
			sendAll(announced, make([]byte, crowdBodyBytes)),
			sendAll(farOver, make([]byte, 8*crowdMaxBodyBytes)),
			sendAll(chunkedHead, chunkedBody(100<<10, 8*crowdMaxBodyBytes)),
			sendAll(crowdHead+"Long: "+strings.Repeat("x", 12<<10), nil),
			sendAll("", bytes.Repeat([]byte(unknown), 10000)),
			sendAll(modelCalls(), nil),
			readSlowly,
			sendAll("", nil),
		}
		var started atomic.Int64
		c := sendCrowd(process, mixedCrowd, func(conn net.Conn) {
			acts[int(started.Add(1))%len(acts)](conn)
		})
		var ordinary sync.WaitGroup
		var answered atomic.Int64
		for range ordinaryClients {
			ordinary.Go(func() {
				defer GinkgoRecover()
				for c.working.Load() > 0 {
					status, err := process.ordinary()
					Expect(err).NotTo(HaveOccurred())
					Expect(status).To(Equal(http.StatusOK))
					answered.Add(1)
				}
			})
		}
		ordinary.Wait()
		AddReportEntry("ordinary requests answered meanwhile", answered.Load())
		Expect(answered.Load()).To(BeNumerically(">", ordinaryClients))
		c.check(mixedCrowdMaxFDs)
	})
})
