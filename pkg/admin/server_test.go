package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

func TestAdmin(t *testing.T) {
	testkit.RunSpecs(t, "admin")
}

const operatorToken = "operator-token"

// fakeInstance returns fixed values to queries and counts drains.
type fakeInstance struct {
	drains int
}

func (f *fakeInstance) Status() adminapi.Status { return adminapi.Status{InstanceID: "i1"} }

func (f *fakeInstance) Members() []adminapi.Member { return nil }

func (f *fakeInstance) Endpoints() []adminapi.Endpoint { return []adminapi.Endpoint{{Name: "e1"}} }

func (f *fakeInstance) Models() []adminapi.Model { return nil }

func (f *fakeInstance) Decision(id string) (decisions.Record, bool) {
	return decisions.Record{ID: id}, id == "known"
}

func (f *fakeInstance) Decisions(kind decisions.Kind, limit int) []decisions.Record {
	return make([]decisions.Record, min(limit, 2))
}

func (f *fakeInstance) Drain() adminapi.DrainResponse {
	f.drains++
	return adminapi.DrainResponse{InstanceID: "i1"}
}

func (f *fakeInstance) InstanceID() string { return "i1" }

var _ = Describe("the admin port", func() {
	var instance *fakeInstance
	var notReady error
	var server *Server

	BeforeEach(func() {
		instance = &fakeInstance{}
		notReady = nil
		server = NewServer(Options{
			Ready:    func() error { return notReady },
			Metrics:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metrics") }),
			Token:    operatorToken,
			Queries:  instance,
			Commands: instance,
			Log:      zap.NewNop(),
		})
	})

	call := func(method, path, body, token string) (int, string) {
		GinkgoHelper()
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		response, err := server.app.Test(request)
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, string(text)
	}

	// Guards against a route that accepts requests without the operator token.
	DescribeTable("requires the operator token for",
		func(method, path string) {
			for _, token := range []string{"", "wrong"} {
				status, body := call(method, path, `{"instanceId":"i1"}`, token)
				Expect(status).To(Equal(http.StatusUnauthorized), body)
			}
			Expect(instance.drains).To(BeZero())
		},
		Entry("status", "GET", adminapi.PathStatus),
		Entry("members", "GET", adminapi.PathMembers),
		Entry("endpoints", "GET", adminapi.PathEndpoints),
		Entry("models", "GET", adminapi.PathModels),
		Entry("decisions", "GET", adminapi.PathDecisions),
		Entry("one decision", "GET", adminapi.PathDecisions+"/known"),
		Entry("metrics", "GET", "/metrics"),
		Entry("profiles", "GET", "/debug/pprof/"),
		Entry("heap profile", "GET", "/debug/pprof/heap"),
		Entry("drain", "POST", adminapi.PathDrain),
	)

	// Guards against a wrong status, and against a failure without a problem document.
	DescribeTable("answers",
		func(method, path, body string, status int, problemType problem.Type) {
			got, text := call(method, path, body, operatorToken)
			Expect(got).To(Equal(status), text)
			if problemType == "" {
				return
			}
			var p problem.Problem
			Expect(json.Unmarshal([]byte(text), &p)).To(Succeed())
			Expect(p.Type).To(Equal(problemType))
			Expect(p.Outcome).To(Equal(problem.NotRun))
		},
		Entry("status", "GET", adminapi.PathStatus, "", 200, problem.Type("")),
		Entry("an empty list", "GET", adminapi.PathMembers, "", 200, problem.Type("")),
		Entry("a known decision", "GET", adminapi.PathDecisions+"/known", "", 200, problem.Type("")),
		Entry("an unknown decision", "GET", adminapi.PathDecisions+"/other", "", 404, problem.TypeNotFound),
		Entry("an unknown path", "GET", "/v1/nothing", "", 404, problem.TypeNotFound),
		Entry("an unknown kind", "GET", adminapi.PathDecisions+"?kind=x", "", 400, problem.TypeInvalidRequest),
		Entry("a limit of zero", "GET", adminapi.PathDecisions+"?limit=0", "", 400, problem.TypeInvalidRequest),
		Entry("a huge limit", "GET", adminapi.PathDecisions+"?limit=1001", "", 400, problem.TypeInvalidRequest),
		Entry("a drain without body", "POST", adminapi.PathDrain, "", 400, problem.TypeInvalidRequest),
		Entry("a drain of another instance", "POST", adminapi.PathDrain, `{"instanceId":"i2"}`, 409, problem.TypeInvalidRequest),
	)

	It("returns an empty list and not null", func() {
		_, text := call("GET", adminapi.PathMembers, "", operatorToken)
		Expect(text).To(MatchJSON(`{"items":[]}`))
	})

	It("drains the instance whose id the request has", func() {
		status, _ := call("POST", adminapi.PathDrain, `{"instanceId":"i1"}`, operatorToken)
		Expect(status).To(Equal(http.StatusOK))
		Expect(instance.drains).To(Equal(1))
	})

	// Guards against a health check that requires a token, and against new work for an instance that is not ready.
	It("reports health and readiness without a token", func() {
		status, _ := call("GET", "/readyz", "", "")
		Expect(status).To(Equal(http.StatusOK))
		notReady = errors.New("no configuration yet")
		status, text := call("GET", "/readyz", "", "")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(text).To(ContainSubstring("no configuration yet"))
		status, _ = call("GET", "/healthz", "", "")
		Expect(status).To(Equal(http.StatusOK))
	})
})
