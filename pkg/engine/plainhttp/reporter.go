// Package plainhttp reads the load reports of plain HTTP services.
package plainhttp

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
)

// PathLoad is the path at which plain services report their load. The report has the fields of engine.Report that apply
// to plain services.
const PathLoad = "/load"

const (
	maxLoadBytes = 64 << 10
	loadTimeout  = 2 * time.Second
)

// Reporter implements engine.Reporter for plain services.
type Reporter struct {
	pool *httpconn.Pool
}

var _ engine.Reporter = (*Reporter)(nil)

// NewReporter returns a reporter, which must be closed.
func NewReporter(options httpconn.Options) *Reporter {
	return &Reporter{pool: httpconn.NewPool(options)}
}

// Close closes idle connections.
func (r *Reporter) Close() { r.pool.Close() }

// Report implements engine.Reporter.
func (r *Reporter) Report(ctx context.Context, target engine.Target) (engine.Report, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(target.URL + PathLoad)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(loadTimeout)
	}
	if err := r.pool.Do(ctx, target.URL, deadline, req, resp, maxLoadBytes); err != nil {
		return engine.Report{}, err
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return engine.Report{}, &engine.StatusError{Status: status}
	}
	var report engine.Report
	err := json.Unmarshal(resp.Body(), &report)
	return report, errors.Wrap(err, "decode load report")
}

// CacheEvents implements engine.Reporter. Plain services have no cache events.
func (r *Reporter) CacheEvents(context.Context, engine.Target, int64) ([]engine.CacheEvent, error) {
	return nil, nil
}
