package httpconn

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/membudget"
)

// Guards against a body that changes at the boundaries of the parts in which it is read, and against memory that grows
// faster than twice the body and one part.
func TestBodyOfUnknownLengthIsReadWhole(t *testing.T) {
	readers := map[string]func(io.Reader) io.Reader{
		"plain":             func(r io.Reader) io.Reader { return r },
		"a byte at a time":  iotest.OneByteReader,
		"end with the data": iotest.DataErrReader,
	}
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 12 << 10, 28 << 10, 100_000, 508 << 10, 600_000} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i * 7)
		}
		for name, wrap := range readers {
			budget := membudget.New(16 << 20)
			memory := budget.Reserve()
			got, err := ReadAll(context.Background(), wrap(bytes.NewReader(want)), size, memory)
			if err != nil || !bytes.Equal(got, want) {
				t.Fatalf("%d bytes, %s: %d bytes, %v", size, name, len(got), err)
			}
			if used, _ := budget.Usage(); used > int64(2*size+maxPartBytes) {
				t.Fatalf("%d bytes, %s: %d bytes reserved", size, name, used)
			}
			if size == 0 {
				continue
			}
			if _, err := ReadAll(context.Background(), wrap(bytes.NewReader(want)), size-1, nil); err == nil {
				t.Fatalf("%d bytes, %s: a body over the limit is accepted", size, name)
			}
			if _, err := ReadAll(context.Background(), io.MultiReader(wrap(bytes.NewReader(want)), iotest.ErrReader(io.ErrUnexpectedEOF)), size, nil); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("%d bytes, %s: a body that breaks off ends with %v", size, name, err)
			}
		}
	}
}

// Guards against small responses that fail because large ones have used up the memory.
func TestSmallBodyNeedsNoMemoryOfTheBudget(t *testing.T) {
	exhausted := membudget.New(0)
	if _, err := ReadAll(context.Background(), bytes.NewReader(make([]byte, unreservedBytes-1)), maxPartBytes, exhausted.Reserve()); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadAll(context.Background(), bytes.NewReader(make([]byte, unreservedBytes+1)), maxPartBytes, exhausted.Reserve()); err == nil {
		t.Fatal("a larger one needs none either")
	}
}
