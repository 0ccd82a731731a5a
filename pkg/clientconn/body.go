package clientconn

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mulberryglade/mulberryglade/pkg/membudget"
)

const (
	// minBlockBytes and firstBlockBytes are the sizes of the first block of a body of unknown and known length. A
	// body of unknown length goes on with firstBlockBytes up to blockBytes in all. Further blocks have blockBytes, or
	// largeBlockBytes in a body that is larger than that. These two sizes are pooled. With blocks of
	// 64 KB only, a chunked body of 4 MB took a fifth more processor time.
	minBlockBytes   = 4 << 10
	firstBlockBytes = 16 << 10
	blockBytes      = 64 << 10
	largeBlockBytes = 256 << 10
)

var (
	blocks      = sync.Pool{New: func() any { return new([blockBytes]byte) }}
	largeBlocks = sync.Pool{New: func() any { return new([largeBlockBytes]byte) }}
)

// Body is the body of a request in blocks. They are allocated as the body arrives, never copied to larger ones, and
// returned when the request ends.
type Body struct {
	blocks [][]byte
	size   int
}

// Size returns the length of the body.
func (b *Body) Size() int {
	return b.size
}

// SetOn sets the body of a request that is forwarded. The request must be written before the body is released.
func (b *Body) SetOn(req *fasthttp.Request) {
	switch len(b.blocks) {
	case 0:
		req.SetBodyRaw(nil)
	case 1:
		req.SetBodyRaw(b.blocks[0])
	default:
		req.SetBodyStream(&bodyReader{body: b}, b.size)
	}
}

// Bytes returns the body as a whole; this copies it.
func (b *Body) Bytes() []byte {
	return bytes.Join(b.blocks, nil)
}

// Release returns the memory of the body.
func (b *Body) Release() {
	for _, block := range b.blocks {
		switch cap(block) {
		case blockBytes:
			blocks.Put((*[blockBytes]byte)(block[:blockBytes]))
		case largeBlockBytes:
			largeBlocks.Put((*[largeBlockBytes]byte)(block[:largeBlockBytes]))
		}
	}
	b.blocks, b.size = nil, 0
}

// bodyReader reads a body once. fasthttp prefers its WriteTo.
type bodyReader struct {
	body   *Body
	block  int
	offset int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for r.block < len(r.body.blocks) {
		if n := copy(p, r.body.blocks[r.block][r.offset:]); n > 0 {
			r.offset += n
			return n, nil
		}
		r.block, r.offset = r.block+1, 0
	}
	return 0, io.EOF
}

// SupportsBodyWriteTo implements fasthttp.BodyWriterTo.
func (r *bodyReader) SupportsBodyWriteTo() bool { return true }

// WriteTo implements io.WriterTo.
func (r *bodyReader) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for ; r.block < len(r.body.blocks); r.block, r.offset = r.block+1, 0 {
		n, err := w.Write(r.body.blocks[r.block][r.offset:])
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// nextBlockBytes returns the size of the next block of a body that has size bytes so far. length is negative if it is
// unknown.
func nextBlockBytes(size, length int) int {
	switch {
	case length >= 0 && size == 0:
		return min(length, firstBlockBytes)
	case length >= 0 && length-size < blockBytes/2:
		return length - size
	case size == 0:
		return minBlockBytes
	case length < 0 && size < blockBytes:
		return firstBlockBytes
	case size >= largeBlockBytes && (length < 0 || length-size >= largeBlockBytes/2):
		return largeBlockBytes
	}
	return blockBytes
}

func newBlock(size int) []byte {
	switch size {
	case blockBytes:
		return blocks.Get().(*[blockBytes]byte)[:0]
	case largeBlockBytes:
		return largeBlocks.Get().(*[largeBlockBytes]byte)[:0]
	}
	return make([]byte, 0, size)
}

// readBody reads the body of a request, whose head has been read, into the connection's blocks.
func (c *Conn) readBody(ctx context.Context, req *fasthttp.Request, length int, limits Limits) error {
	if length >= 0 {
		if length == 0 {
			return nil
		}
		return c.body.Fill(ctx, c.memory, c.reader, length, limits, c.setReadDeadline)
	}
	// Without a length, only the framing is left to fasthttp, which reads no byte of a chunked body in advance.
	if err := req.ContinueReadBodyStream(c.reader, limits.MaxBodyBytes, false); err != nil {
		return err
	}
	if !req.IsBodyStream() {
		return nil
	}
	if err := c.body.Fill(ctx, c.memory, req.BodyStream(), length, limits, c.setReadDeadline); err != nil {
		return err
	}
	if c.body.size == 0 {
		req.Header.SetContentLength(0)
	}
	return nil
}

// Fill reads a body of the given length, or up to the end if it is negative, and reserves its memory as it arrives.
// setDeadline sets the deadline of reads as the time from now.
func (b *Body) Fill(ctx context.Context, memory *membudget.Reservation, from io.Reader, length int, limits Limits, setDeadline func(time.Duration)) error {
	progress := BeginProgress(setDeadline, limits.StallTimeout, limits.MinBytesPerSecond)
	for length < 0 || b.size < length {
		last := len(b.blocks) - 1
		if last < 0 || len(b.blocks[last]) == cap(b.blocks[last]) {
			size := nextBlockBytes(b.size, length)
			if err := memory.Grow(ctx, time.Time{}, size); err != nil {
				return err
			}
			b.blocks = append(b.blocks, newBlock(size))
			last++
		}
		block := b.blocks[last]
		free := block[len(block):cap(block)]
		if length >= 0 {
			free = free[:min(len(free), length-b.size)]
		}
		n, err := from.Read(free)
		b.blocks[last] = block[:len(block)+n]
		b.size += n
		if b.size > limits.MaxBodyBytes {
			return fasthttp.ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			if length >= 0 && b.size < length {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		progress.Add(n)
	}
	return nil
}
