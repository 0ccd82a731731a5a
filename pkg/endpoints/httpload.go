package endpoints

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

const (
	// loadPath is where a replica of a plain service reports its load.
	loadPath = "/load"
	// maxLoadBytes bounds the body; a load report has four fields.
	maxLoadBytes = 4096
)

// HTTPLoadReader reads GET /load over HTTP.
type HTTPLoadReader struct {
	client *fasthttp.Client
}

var _ LoadReader = (*HTTPLoadReader)(nil)

// NewHTTPLoadReader returns a reader whose connections stay open between polls for up to idle.
func NewHTTPLoadReader(idle time.Duration) *HTTPLoadReader {
	return &HTTPLoadReader{client: &fasthttp.Client{
		MaxIdleConnDuration:       idle,
		MaxResponseBodySize:       maxLoadBytes,
		MaxIdemponentCallAttempts: 1,
	}}
}

// Load implements LoadReader.
func (r *HTTPLoadReader) Load(ctx context.Context, target engine.Target) (ServiceLoad, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(target.URL + loadPath)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultReportTimeout)
	}
	if err := r.client.DoDeadline(request, response, deadline); err != nil {
		return ServiceLoad{}, errors.Mark(errors.Wrapf(err, "read load of %s", target.Name), engine.ErrConnectionLost)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return ServiceLoad{}, &engine.StatusError{Status: status}
	}
	var load ServiceLoad
	if err := json.Unmarshal(response.Body(), &load); err != nil {
		return ServiceLoad{}, errors.Wrapf(&engine.StatusError{Status: fasthttp.StatusOK}, "load of %s is not JSON: %v",
			target.Name, err)
	}
	return load, nil
}
