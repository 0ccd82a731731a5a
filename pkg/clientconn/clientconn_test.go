package clientconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/membudget"
)

// Guards against a flood of connections that displaces the connections of sound clients, or a request in progress.
func TestVictimSparesRequestsAndReusedConnections(t *testing.T) {
	second := time.Second
	for _, test := range []struct {
		name   string
		states []State
		want   int
	}{
		{"nothing is open", nil, -1},
		{"requests in progress", []State{{Phase: Busy, Served: true, Age: 20 * second}, {Phase: ReadingBody, Age: 20 * second}}, -1},
		{"a reused connection next to one that was never used", []State{{Phase: Idle, Served: true, Age: 12 * second}, {Phase: Idle, Age: second}}, 1},
		{"the oldest of those that were never used", []State{{Phase: Idle, Age: second}, {Phase: Idle, Age: 3 * second}, {Phase: Idle, Age: 2 * second}}, 1},
		{"a head that does not end", []State{{Phase: Idle, Served: true, Age: 12 * second}, {Phase: ReadingHead, Age: second}}, 1},
		{"a connection that is to be closed", []State{{Phase: Idle, Age: 9 * second}, {Phase: Closing, Age: second}}, 1},
		{"the longest idle one", []State{{Phase: Idle, Served: true, Age: second}, {Phase: Idle, Served: true, Age: 2 * second}}, 1},
		{"a response that nobody reads", []State{{Phase: Busy, Served: true, Age: 20 * second, Unread: 4 * second}, {Phase: Busy, Served: true, Age: 9 * second, Unread: 8 * second}}, 1},
		{"an idle connection before an unread response", []State{{Phase: Busy, Served: true, Unread: 9 * second}, {Phase: Idle, Served: true, Age: second}}, 1},
		{"a second request's head", []State{{Phase: ReadingHead, Served: true, Age: second}}, -1},
	} {
		if got := VictimFor(test.states); got != test.want {
			t.Errorf("%s: victim %d, want %d", test.name, got, test.want)
		}
	}
}

// pair returns both ends of a loopback connection.
func pair(t testing.TB) (server, client net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = server.Close(), client.Close() })
	return server, client
}

var testLimits = Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 10 * time.Second, StallTimeout: 200 * time.Millisecond, MinBytesPerSecond: 1 << 10,
}

// Guards against a body that stops, or trickles, and is kept for ever; and against one on a slow link that is cut off
// although it keeps to the minimum for longer than the period.
func TestBodyMustKeepTheMinimumRate(t *testing.T) {
	for _, test := range []struct {
		name  string
		piece int
		want  error
	}{{"stops", 0, ErrTooSlow}, {"trickles", 1, ErrTooSlow}, {"is slow but sound", 500, nil}} {
		t.Run(test.name, func(t *testing.T) {
			server, client := pair(t)
			const length = 50_000
			go func() {
				_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n")
				for sent := 0; sent < length && test.piece > 0; sent += test.piece {
					time.Sleep(10 * time.Millisecond)
					if _, err := client.Write(make([]byte, test.piece)); err != nil {
						return
					}
				}
			}()
			limits := testLimits
			// 500 bytes each 10 ms are 50 times the minimum, a byte each 10 ms a tenth of it.
			c := New(server, nil)
			defer c.Release()
			if err := c.Await(); err != nil || !c.Begin() {
				t.Fatal(err)
			}
			if err := c.ReadRequest(context.Background(), &fasthttp.Request{}, limits); !errors.Is(err, test.want) || (err == nil) != (test.want == nil) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

// Guards against a client that never reads and holds its request for ever, and against one that reads slowly and is cut
// off.
func TestResponseMustBeRead(t *testing.T) {
	for _, reads := range []bool{false, true} {
		server, client := pair(t)
		unread := 0
		c := New(server, nil)
		c.OnUnread = func() { unread++ }
		c.stall = 500 * time.Millisecond
		blocked := make(chan time.Duration, 1)
		time.AfterFunc(300*time.Millisecond, func() { blocked <- c.State(time.Now()).Unread })
		const total = 16 << 20
		if reads {
			go func() {
				buffer := make([]byte, 200<<10)
				for {
					time.Sleep(10 * time.Millisecond)
					if _, err := client.Read(buffer); err != nil {
						return
					}
				}
			}()
		}
		n, err := c.Write(make([]byte, total))
		if reads && (err != nil || n != total || unread != 0) {
			t.Fatalf("slow reader: %d bytes, %v", n, err)
		}
		if !reads && (!errors.Is(err, ErrUnread) || unread != 1) {
			t.Fatalf("silent client: %d bytes, %v", n, err)
		}
		if unreadFor := <-blocked; !reads && unreadFor <= 0 {
			t.Fatal("a blocked write does not show")
		}
		if c.State(time.Now()).Unread != 0 {
			t.Fatal("a write that has ended shows")
		}
	}
}

// Guards against an evicted body that goes on, and against one that is taken for a slow one.
func TestEvictedBodyEnds(t *testing.T) {
	server, client := pair(t)
	budget := membudget.New(1 << 20)
	c := New(server, budget)
	defer c.Release()
	go func() {
		_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n")
		_, _ = client.Write(make([]byte, 700_000))
	}()
	ended := make(chan error, 1)
	go func() {
		if err := c.Await(); err != nil || !c.Begin() {
			ended <- errors.Newf("await: %v", err)
			return
		}
		limits := testLimits
		limits.StallTimeout = time.Minute
		err := c.ReadRequest(context.Background(), &fasthttp.Request{}, limits)
		c.DropRequest()
		ended <- err
	}()
	for used := int64(0); used < 700_000; used, _ = budget.Usage() {
		time.Sleep(time.Millisecond)
	}
	if err := budget.ReserveEvictable(func() {}).Grow(context.Background(), time.Time{}, 300<<10); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, membudget.ErrEvicted) {
		t.Fatalf("got %v", err)
	}
	if used, _ := budget.Usage(); used != 300<<10 {
		t.Fatalf("%d bytes are still reserved", used)
	}
}

// Guards against an idle connection that holds buffers, by which connections without end would use up the memory.
func TestIdleConnectionHoldsNoBuffers(t *testing.T) {
	server, client := pair(t)
	budget := membudget.New(1 << 20)
	c := New(server, budget)
	defer c.Release()
	for range 2 {
		go func() { _, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
		if err := c.Await(); err != nil || !c.Begin() {
			t.Fatal(err)
		}
		if err := c.ReadRequest(context.Background(), &fasthttp.Request{}, testLimits); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Writer().WriteString("HTTP/1.1 204 No Content\r\n\r\n"); err != nil || c.Flush() != nil {
			t.Fatal(err)
		}
		c.EndRequest(true, time.Minute)
		time.AfterFunc(50*time.Millisecond, func() { _ = server.SetReadDeadline(time.Unix(1, 0)) })
		if err := c.Await(); err == nil {
			t.Fatal("a request arrived")
		}
		if used, _ := budget.Usage(); used != 0 || c.reader != nil || c.writer != nil {
			t.Fatalf("%d bytes, reader %v, writer %v", used, c.reader != nil, c.writer != nil)
		}
		c.WaitIdle(time.Minute)
	}
}

// Guards against a reused connection that loses its response because the time of the request before is over.
func TestWriteLimitEndsWithItsRequest(t *testing.T) {
	server, client := pair(t)
	c := New(server, nil)
	defer c.Release()
	for range 2 {
		go func() { _, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
		if err := c.Await(); err != nil || !c.Begin() {
			t.Fatal(err)
		}
		if err := c.ReadRequest(context.Background(), &fasthttp.Request{}, testLimits); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		c.LimitWrites(time.Now())
		c.EndRequest(true, time.Minute)
	}
}

// BenchmarkLargeRequest reads and forwards one request inside the limits. "before" is how an instance read bodies until
// blocks were introduced: with fasthttp, into one buffer that is pooled.
func BenchmarkLargeRequest(b *testing.B) {
	const size = 4 << 20
	plain := append([]byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n"), make([]byte, size)...)
	chunked := []byte("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range size / (64 << 10) {
		chunked = append(append(append(chunked, "10000\r\n"...), make([]byte, 64<<10)...), "\r\n"...)
	}
	chunked = append(chunked, "0\r\n\r\n"...)
	for _, framing := range []struct {
		name string
		data []byte
	}{{"length", plain}, {"chunks", chunked}} {
		read := func(b *testing.B, one func(conn net.Conn, out *bufio.Writer)) {
			server, client := pair(b)
			b.SetBytes(size)
			b.ReportAllocs()
			go func() {
				for {
					if _, err := client.Write(framing.data); err != nil {
						return
					}
				}
			}()
			out := bufio.NewWriter(io.Discard)
			for b.Loop() {
				one(server, out)
			}
		}
		b.Run(framing.name+"/before", func(b *testing.B) {
			var reader *bufio.Reader
			read(b, func(conn net.Conn, out *bufio.Writer) {
				if reader == nil {
					reader = bufio.NewReaderSize(conn, 16<<10)
				}
				req, forward := fasthttp.AcquireRequest(), fasthttp.AcquireRequest()
				if err := errors.CombineErrors(req.Header.Read(reader), req.ContinueReadBody(reader, size, false)); err != nil {
					b.Fatal(err)
				}
				req.Header.CopyTo(&forward.Header)
				forward.SetBodyRaw(req.Body())
				if err := errors.CombineErrors(forward.Write(out), out.Flush()); err != nil {
					b.Fatal(err)
				}
				fasthttp.ReleaseRequest(req)
				fasthttp.ReleaseRequest(forward)
			})
		})
		b.Run(framing.name+"/blocks", func(b *testing.B) {
			var c *Conn
			limits := testLimits
			limits.StallTimeout = time.Minute
			read(b, func(conn net.Conn, out *bufio.Writer) {
				if c == nil {
					c = New(conn, membudget.New(64<<20))
				}
				req, forward := fasthttp.AcquireRequest(), fasthttp.AcquireRequest()
				if err := c.Await(); err != nil || !c.Begin() {
					b.Fatal(err)
				}
				if err := c.ReadRequest(context.Background(), req, limits); err != nil {
					b.Fatal(err)
				}
				req.Header.CopyTo(&forward.Header)
				c.Body().SetOn(forward)
				if err := errors.CombineErrors(forward.Write(out), out.Flush()); err != nil {
					b.Fatal(err)
				}
				c.EndRequest(true, time.Minute)
				fasthttp.ReleaseRequest(req)
				fasthttp.ReleaseRequest(forward)
			})
		})
	}
}

// BenchmarkSmallRequest reads and answers requests of an ordinary size on one connection, one after the other. "before" is how
// an instance did it until idle connections held no buffers.
func BenchmarkSmallRequest(b *testing.B) {
	request := []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 400\r\n\r\n" + string(make([]byte, 400)))
	response := []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	run := func(b *testing.B, one func(conn net.Conn)) {
		server, client := pair(b)
		b.ReportAllocs()
		go func() {
			buffer := make([]byte, len(response))
			for {
				if _, err := client.Write(request); err != nil {
					return
				}
				if _, err := io.ReadFull(client, buffer); err != nil {
					return
				}
			}
		}()
		for b.Loop() {
			one(server)
		}
	}
	b.Run("before", func(b *testing.B) {
		var reader *bufio.Reader
		run(b, func(conn net.Conn) {
			if reader == nil {
				reader = bufio.NewReaderSize(conn, 16<<10)
			}
			req := fasthttp.AcquireRequest()
			_, err := reader.Peek(1)
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			err = errors.CombineErrors(err, req.Header.Read(reader))
			_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
			err = errors.CombineErrors(err, req.ContinueReadBody(reader, 4<<20, false))
			_ = conn.SetReadDeadline(time.Time{})
			_ = conn.SetWriteDeadline(time.Now().Add(time.Minute))
			_, writeErr := conn.Write(response)
			_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second))
			if err = errors.CombineErrors(err, writeErr); err != nil {
				b.Fatal(err)
			}
			fasthttp.ReleaseRequest(req)
		})
	})
	b.Run("now", func(b *testing.B) {
		var c *Conn
		budget := membudget.New(64 << 20)
		run(b, func(conn net.Conn) {
			if c == nil {
				c = New(conn, budget)
			}
			req := fasthttp.AcquireRequest()
			if err := c.Await(); err != nil || !c.Begin() {
				b.Fatal(err)
			}
			if err := c.ReadRequest(context.Background(), req, testLimits); err != nil {
				b.Fatal(err)
			}
			c.LimitWrites(time.Now().Add(time.Minute))
			_, err := c.Write(response)
			c.EndRequest(true, 15*time.Second)
			if err != nil {
				b.Fatal(err)
			}
			fasthttp.ReleaseRequest(req)
		})
	})
}

// Guards against a body that changes at the boundaries of its blocks when it is written.
func TestBodyIsWrittenWhole(t *testing.T) {
	want := make([]byte, 900_000)
	for i := range want {
		want[i] = byte(i * 7)
	}
	body := &Body{}
	for size := 0; size < len(want); {
		block := newBlock(nextBlockBytes(size, len(want)))
		n := min(cap(block), len(want)-size)
		body.blocks = append(body.blocks, append(block, want[size:size+n]...))
		size += n
		body.size = size
	}
	for range 2 {
		var out bytes.Buffer
		if _, err := (&bodyReader{body: body}).WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), want) {
			t.Fatal("WriteTo changes the body")
		}
		if got, err := io.ReadAll(&bodyReader{body: body}); err != nil || !bytes.Equal(got, want) {
			t.Fatal("Read changes the body")
		}
	}
}

// Guards against a response that is not written because the write deadline of an earlier request on the connection has
// passed, where the limits of the two requests differ by little.
func TestWriteDeadlineOfAnEarlierRequestDoesNotApply(t *testing.T) {
	server, client := pair(t)
	go func() { _, _ = io.Copy(io.Discard, client) }()
	c := New(server, nil)
	defer c.Release()
	c.stall = 15 * time.Second
	c.LimitWrites(time.Now().Add(20 * time.Millisecond))
	if _, err := c.Write([]byte("first")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(40 * time.Millisecond)
	c.LimitWrites(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte("second")); err != nil {
		t.Fatal(err)
	}
}
