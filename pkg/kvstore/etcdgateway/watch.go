package etcdgateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// Watch implements kvstore.Watcher. It returns once the service confirmed the watch; URLs are tried in turn.
func (c *Client) Watch(ctx context.Context, prefix string, from kvstore.Revision) (kvstore.Watch, error) {
	key := prefixRange(prefix)
	// The service reads a start revision of zero as "from now on".
	create := watchCreate{Key: key.Key, RangeEnd: key.RangeEnd, StartRevision: max(1, int64(from)), ProgressNotify: true}
	body, err := json.Marshal(watchRequest{Create: create})
	if err != nil {
		return nil, as(kvstore.ErrUnavailable, errors.Wrap(err, "encode request"))
	}
	first := int(c.preferred.Load())
	for i := range c.urls {
		index := (first + i) % len(c.urls)
		var w *watch
		w, err = c.openWatch(ctx, c.urls[index], body)
		c.count("watch", err)
		if err == nil {
			return w, nil
		}
		if ctx.Err() != nil || errors.Is(err, kvstore.ErrCompacted) {
			return nil, err
		}
	}
	return nil, err
}

func (c *Client) openWatch(ctx context.Context, url string, body []byte) (*watch, error) {
	streamContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	w := &watch{client: c, cancel: cancel, messages: make(chan watchMessage), ended: make(chan struct{})}
	opened := make(chan error, 1)
	c.scope.Gauge("pending_watches").Update(float64(c.watches.Add(1)))
	w.reader.Go(func() {
		defer c.watchEnded()
		w.read(streamContext, url, body, opened)
	})
	deadline, cancelDeadline := context.WithTimeout(ctx, c.timeout)
	defer cancelDeadline()
	select {
	case err := <-opened:
		if err != nil {
			w.Close()
			return nil, err
		}
		return w, nil
	case <-deadline.Done():
		w.Close()
		return nil, as(kvstore.ErrUnavailable, errors.Wrap(deadline.Err(), "open watch"))
	}
}

func (c *Client) watchEnded() {
	c.scope.Gauge("pending_watches").Update(float64(c.watches.Add(-1)))
}

// PendingWatches returns the number of open watches.
func (c *Client) PendingWatches() int64 {
	return c.watches.Load()
}

// watch reads its stream in one goroutine.
type watch struct {
	client   *Client
	cancel   context.CancelFunc
	reader   conc.WaitGroup
	messages chan watchMessage
	// ended is closed after err is set.
	ended     chan struct{}
	err       error
	closeOnce sync.Once
}

func (w *watch) read(ctx context.Context, url string, body []byte, opened chan<- error) {
	defer close(w.ended)
	response, err := w.client.send(ctx, url+"/v3/watch", body)
	if err != nil {
		w.err = as(kvstore.ErrUnavailable, err)
		opened <- w.err
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		w.err = parseStatus(raw).storeError(false)
		opened <- w.err
		return
	}
	w.err = w.stream(ctx, response.Body, opened)
	select {
	case opened <- w.err:
	default:
	}
}

// stream decodes messages until the stream breaks. The confirmation is not passed on.
func (w *watch) stream(ctx context.Context, body io.Reader, opened chan<- error) error {
	limited := &io.LimitedReader{R: body}
	decoder := json.NewDecoder(limited)
	confirmed := false
	for {
		limited.N = maxResponseBytes
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return as(kvstore.ErrUnavailable, errors.Wrap(err, "read watch"))
		}
		message, err := parseWatch(raw)
		if err != nil {
			return watchError(err)
		}
		if !confirmed {
			confirmed = true
			opened <- nil
		}
		if message.created && len(message.events) == 0 {
			continue
		}
		select {
		case w.messages <- message:
		case <-ctx.Done():
			return as(kvstore.ErrUnavailable, ctx.Err())
		}
	}
}

func watchError(err error) error {
	if errors.Is(err, kvstore.ErrCompacted) {
		return err
	}
	return as(kvstore.ErrUnavailable, err)
}

// Next implements kvstore.Watch.
func (w *watch) Next(ctx context.Context) ([]kvstore.Event, error) {
	select {
	case message := <-w.messages:
		return message.events, nil
	default:
	}
	select {
	case message := <-w.messages:
		return message.events, nil
	case <-w.ended:
		return nil, w.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close implements kvstore.Watch. It waits for the reading goroutine.
func (w *watch) Close() {
	w.closeOnce.Do(func() {
		w.cancel()
		w.reader.Wait()
	})
}
