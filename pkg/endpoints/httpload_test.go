package endpoints_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// Guards against a load that is taken from a failed or malformed answer, and against an error of a process that answers
// being mistaken for one that does not.
func TestHTTPLoadReader(t *testing.T) {
	cases := map[string]struct {
		status   int
		body     string
		want     endpoints.ServiceLoad
		fails    bool
		answered bool
	}{
		"load":          {status: 200, body: `{"running":2,"waiting":1,"maxRunning":8,"leaving":true}`, want: endpoints.ServiceLoad{Running: 2, Waiting: 1, MaxRunning: 8, Leaving: true}},
		"error status":  {status: 500, body: `{"running":2}`, fails: true, answered: true},
		"not JSON":      {status: 200, body: `<html>`, fails: true, answered: true},
		"huge body":     {status: 200, body: string(make([]byte, 1<<20)), fails: true},
		"no connection": {fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				g.Expect(r.URL.Path).To(Equal("/load"))
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			if c.status == 0 {
				server.Close()
			} else {
				defer server.Close()
			}
			load, err := endpoints.NewHTTPLoadReader(time.Minute).Load(context.Background(), engine.Target{URL: server.URL})
			g.Expect(err != nil).To(Equal(c.fails), "%v", err)
			g.Expect(load).To(Equal(c.want))
			var status *engine.StatusError
			g.Expect(errors.As(err, &status)).To(Equal(c.answered))
		})
	}
}
