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

// Watch implements kvstore.Watcher. It tries the URLs in turn and returns when the service has confirmed the watch.
func (c *Client) Watch(ctx context.Context, prefix string, from kvstore.Revision) (kvstore.Watch, error) {
	key := prefixRange(prefix)
	// The service interprets a start revision of zero as "from now on".
	create := watchCreateRequest{Key: key.Key, RangeEnd: key.RangeEnd, StartRevision: max(1, int64(from)), ProgressNotify: true}
	body, err := json.Marshal(watchRequest{Create: create})
	if err != nil {
		return nil, wrapAs(kvstore.ErrUnavailable, errors.Wrap(err, "encode request"))
	}
	first := int(c.preferred.Load())
	for i := range c.urls {
		index := (first + i) % len(c.urls)
		var w *watch
		w, err = c.openWatch(ctx, c.urls[index], body)
		c.countCall("watch", err)
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
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	w := &watch{client: c, cancel: cancel, messages: make(chan watchMessage), done: make(chan struct{})}
	opened := make(chan error, 1)
	c.scope.Gauge("pending_watches").Update(float64(c.pendingWatches.Add(1)))
	w.reader.Go(func() {
		defer c.countWatchEnd()
		w.run(streamCtx, url, body, opened)
	})
	openCtx, cancelOpen := context.WithTimeout(ctx, c.timeout)
	defer cancelOpen()
	select {
	case err := <-opened:
		if err != nil {
			w.Close()
			return nil, err
		}
		return w, nil
	case <-openCtx.Done():
		w.Close()
		return nil, wrapAs(kvstore.ErrUnavailable, errors.Wrap(openCtx.Err(), "open watch"))
	}
}

func (c *Client) countWatchEnd() {
	c.scope.Gauge("pending_watches").Update(float64(c.pendingWatches.Add(-1)))
}

// PendingWatches returns the number of watches that are open or being opened.
func (c *Client) PendingWatches() int64 {
	return c.pendingWatches.Load()
}

// watch is a kvstore.Watch. One goroutine reads its stream.
type watch struct {
	client   *Client
	cancel   context.CancelFunc
	reader   conc.WaitGroup
	messages chan watchMessage
	// done is closed after err is set.
	done      chan struct{}
	err       error
	closeOnce sync.Once
}

func (w *watch) run(ctx context.Context, url string, body []byte, opened chan<- error) {
	defer close(w.done)
	response, err := w.client.send(ctx, url+"/v3/watch", body)
	if err != nil {
		w.err = wrapAs(kvstore.ErrUnavailable, err)
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

// stream decodes messages until the stream ends. It signals on opened that the first one, which confirms the watch, was
// received, and delivers all except a confirmation without events.
func (w *watch) stream(ctx context.Context, body io.Reader, opened chan<- error) error {
	limited := &io.LimitedReader{R: body}
	decoder := json.NewDecoder(limited)
	confirmed := false
	for {
		limited.N = maxResponseBytes
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return wrapAs(kvstore.ErrUnavailable, errors.Wrap(err, "read watch"))
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
			return wrapAs(kvstore.ErrUnavailable, ctx.Err())
		}
	}
}

func watchError(err error) error {
	if errors.Is(err, kvstore.ErrCompacted) {
		return err
	}
	return wrapAs(kvstore.ErrUnavailable, err)
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
	case <-w.done:
		return nil, w.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close implements kvstore.Watch. It waits until the goroutine that reads the stream has ended.
func (w *watch) Close() {
	w.closeOnce.Do(func() {
		w.cancel()
		w.reader.Wait()
	})
}
