// Package httpjson reads JSON documents over HTTP from one of several equivalent servers.
package httpjson

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/httpresponse"
)

const (
	// maxDocumentBytes is the maximum length of an encoded document. It limits the memory for reading one.
	maxDocumentBytes = 16 << 20
	// defaultTimeout applies if Options.Timeout is not set.
	defaultTimeout = 2 * time.Second
)

// ErrUnavailable means that no server returned a usable document.
var ErrUnavailable = errors.New("no server returned a usable document")

// Options are the parameters of New.
type Options struct {
	// URLs are the base URLs of equivalent servers.
	URLs []string
	// Timeout limits the duration of each call of Get, all URLs together; zero means 2 s.
	Timeout time.Duration
}

// Reader reads documents from the servers. It is safe for concurrent use.
type Reader struct {
	urls    []string
	timeout time.Duration
	client  http.Client
}

// New returns a reader. It opens no connection.
func New(o Options) (*Reader, error) {
	if len(o.URLs) == 0 {
		return nil, errors.New("no URL")
	}
	r := &Reader{timeout: o.Timeout}
	if r.timeout <= 0 {
		r.timeout = defaultTimeout
	}
	for _, url := range o.URLs {
		r.urls = append(r.urls, strings.TrimRight(url, "/"))
	}
	r.client.Transport = &http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute}
	return r, nil
}

// Close closes idle connections.
func (r *Reader) Close() {
	r.client.CloseIdleConnections()
}

// Get reads and decodes the document at the path. It tries the servers in order, each with an equal fraction of the
// remaining time, so that one unresponsive server does not use up the timeout. Errors wrap ErrUnavailable.
func (r *Reader) Get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	var err error
	for i, url := range r.urls {
		attemptTimeout := time.Until(deadline) / time.Duration(len(r.urls)-i)
		if err = r.getFrom(ctx, url+path, attemptTimeout, into); err == nil {
			return nil
		}
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

func (r *Reader) getFrom(ctx context.Context, url string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if err := httpresponse.CheckDecoded(response.StatusCode, response.Header); err != nil {
		return errors.Wrap(err, url)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", url, response.StatusCode)
	}
	document, err := io.ReadAll(io.LimitReader(response.Body, maxDocumentBytes+1))
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	if len(document) > maxDocumentBytes {
		return errors.Newf("%s: document exceeds %d bytes", url, maxDocumentBytes)
	}
	return errors.Wrapf(json.Unmarshal(document, into), "decode %s", url)
}
