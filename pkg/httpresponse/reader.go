package httpresponse

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// PeekHead waits for the next head and parses it. It consumes nothing. The size of the reader's buffer bounds the head. Bytes that
// cannot begin a head are rejected as they arrive, since their sender may keep the connection open without a line end.
// Errors: of type *Error, or that of the reader if no byte has arrived or its deadline has passed.
func PeekHead(reader *bufio.Reader, toHead bool) (Head, error) {
	searched, lineBegin := 0, 0
	for {
		buffered, _ := reader.Peek(reader.Buffered())
		if begin := buffered[:min(len(buffered), len(versionBegin))]; !strings.HasPrefix(versionBegin, string(begin)) {
			return Head{}, newError(CauseStatusLine, "%.40q", buffered)
		}
		for {
			length := bytes.IndexByte(buffered[searched:], '\n')
			if length < 0 {
				break
			}
			end := searched + length
			searched = end + 1
			if isEmptyLine := end-lineBegin <= 1; isEmptyLine {
				return ParseHead(buffered[:searched], toHead)
			}
			lineBegin = searched
		}
		searched = len(buffered)
		if _, err := reader.Peek(len(buffered) + 1); err != nil {
			return Head{}, headError(err, buffered)
		}
	}
}

// versionBegin is the beginning of each head.
const versionBegin = "HTTP/1."

// headError returns the error of a head that is incomplete because of an error of its connection.
func headError(err error, received []byte) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return newError(CauseSize, "head exceeds %d bytes", len(received))
	case len(received) == 0 || errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	return newError(CauseHeadCutOff, "connection ended after %d bytes of the head: %v", len(received), err)
}

// NewBody returns a reader of the body that follows a head. It returns bytes as they arrive, and io.EOF only at the end of the
// body. Errors: of type *Error, or that of the reader if its deadline has passed. A body with CloseDelimited is whole if the
// reader returns io.EOF, which it must do only if the connection has ended in order.
func NewBody(reader *bufio.Reader, head Head) io.Reader {
	switch head.Framing {
	case FixedLength:
		return &fixedLengthBody{reader: reader, remaining: head.Length}
	case Chunked:
		return &chunkedBody{reader: reader}
	case CloseDelimited:
		return &closeDelimitedBody{reader: reader}
	}
	return &fixedLengthBody{}
}

// bodyError returns the error of a body that has not ended although its connection has.
func bodyError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return newError(CauseBodyCutOff, "connection ended before the end of the body: %v", err)
}

// fixedLengthBody reads a body of known length.
type fixedLengthBody struct {
	reader    *bufio.Reader
	remaining int
	err       error
}

// Read implements io.Reader.
func (b *fixedLengthBody) Read(p []byte) (int, error) {
	switch {
	case b.err != nil:
		return 0, b.err
	case b.remaining == 0:
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if err != nil {
		b.err = bodyError(err)
	}
	return n, b.err
}

// closeDelimitedBody reads a body that ends with its connection.
type closeDelimitedBody struct {
	reader *bufio.Reader
	err    error
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.err = io.EOF
	case err != nil:
		b.err = bodyError(err)
	}
	return n, b.err
}
