package instancelist_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/internal/standin/instances"
	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/instancelist"
)

func TestInstanceList(t *testing.T) {
	testkit.RunSpecs(t, "instance list")
}

func startServer() (*instances.Server, string) {
	server := instances.NewServer()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	DeferCleanup(func() {
		_ = server.Close()
		wg.Wait()
	})
	return server, "http://" + listener.Addr().String()
}

func newInstance(id string, state instancelist.State) instancelist.Instance {
	return instancelist.Instance{
		ID: id, Role: instancelist.RoleEntry, Address: "10.0.0.1:7000", DataCentre: "kathmandu-a", State: state,
	}
}

var _ = Describe("Client", func() {
	var server *instances.Server
	var url string
	newClient := func(timeout time.Duration, urls ...string) *instancelist.Client {
		client, err := instancelist.New(instancelist.Options{URLs: urls, Timeout: timeout})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		return client
	}
	BeforeEach(func() { server, url = startServer() })

	It("lists live and leaving instances and skips invalid entries", func() {
		valid := []instancelist.Instance{newInstance("a", instancelist.StateLive), newInstance("b", instancelist.StateLeaving)}
		noAddress, noID, invalidState, invalidRole := newInstance("c", "live"), newInstance("", "live"), newInstance("d", "gone"), newInstance("e", "live")
		noAddress.Address, invalidRole.Role = "host", "other"
		server.Set(append(valid, noAddress, noID, invalidState, invalidRole, newInstance("a", instancelist.StateLeaving))...)
		got, err := newClient(time.Minute, url).List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(valid))
	})

	It("does not see a change until the lag has passed", func() {
		server.SetLag(time.Hour)
		server.Set(newInstance("a", instancelist.StateLive))
		got, err := newClient(time.Minute, url).List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(BeEmpty())
	})

	DescribeTable("reports a failure instead of an empty list", func(fault instances.Fault, timeout time.Duration) {
		server.Set(newInstance("a", instancelist.StateLive))
		server.QueueFault(fault)
		client := newClient(timeout, url)
		_, err := client.List(context.Background())
		Expect(err).To(MatchError(instancelist.ErrUnavailable))
		Expect(server.Calls()).To(Equal(1))
	},
		Entry("error status", instances.Fault{Status: http.StatusServiceUnavailable}, time.Minute),
		Entry("malformed", instances.Fault{Body: `{"instances":[`}, time.Minute),
		Entry("other document", instances.Fault{Body: `{}`}, time.Minute),
		Entry("null list", instances.Fault{Body: `{"instances":null}`}, time.Minute),
		Entry("connection closed", instances.Fault{Drop: true}, time.Minute),
		Entry("no response", instances.Fault{Delay: time.Hour}, 50*time.Millisecond),
	)

	It("tries the next URL", func() {
		server.QueueFault(instances.Fault{Status: http.StatusInternalServerError})
		other, otherURL := startServer()
		other.Set(newInstance("b", instancelist.StateLive))
		got, err := newClient(time.Minute, url, otherURL).List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(HaveLen(1))
	})
})
