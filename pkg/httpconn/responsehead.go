package httpconn

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxStatus is the largest status code that a response may have.
const maxStatus = 599

// checkResponseHead waits for the next response head and returns an error if it is not a valid one. It consumes nothing.
// It is stricter than fasthttp, which reads status 000 as 200, accepts codes above 599, any version and empty lines before
// the status line, and lets chunks override a length. A head that is cut off or exceeds the buffer is left to fasthttp.
func checkResponseHead(reader *bufio.Reader) error {
	head, complete := peekResponseHead(reader)
	if !complete {
		return nil
	}
	statusLine, fields, _ := bytes.Cut(head, []byte("\n"))
	if err := checkStatusLine(bytes.TrimSuffix(statusLine, []byte("\r"))); err != nil {
		return err
	}
	return checkFraming(fields)
}

// peekResponseHead returns the bytes up to the empty line that ends a head. It returns false if the connection ends or the
// buffer is full before that line.
func peekResponseHead(reader *bufio.Reader) (head []byte, complete bool) {
	searched := 0
	for {
		buffered, _ := reader.Peek(reader.Buffered())
		if end := headEnd(buffered, searched); end >= 0 {
			return buffered[:end], true
		}
		searched = len(buffered)
		if _, err := reader.Peek(len(buffered) + 1); err != nil {
			return nil, false
		}
	}
}

// headEnd returns the index at which the head ends, or -1 if no empty line follows a line. The bytes before searched have
// been searched before.
func headEnd(data []byte, searched int) int {
	const endOverlap = 2
	from := max(searched-endOverlap, 0)
	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return -1
		}
		from += i + 1
		rest := data[from:]
		if bytes.HasPrefix(rest, []byte("\n")) || bytes.HasPrefix(rest, []byte("\r\n")) {
			return from
		}
	}
}

// checkStatusLine returns an error unless the line is that of an HTTP/1.0 or HTTP/1.1 response with a final status.
func checkStatusLine(line []byte) error {
	rest, found := bytes.CutPrefix(line, []byte("HTTP/1.1 "))
	if !found {
		rest, found = bytes.CutPrefix(line, []byte("HTTP/1.0 "))
	}
	if !found {
		return errors.Newf("invalid status line %.40q", line)
	}
	code, _, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.ParseUint(string(code), 10, 16)
	// An interim response would be followed by a second header. No endpoint of this system sends one.
	if err != nil || len(code) != 3 || status < fasthttp.StatusOK || status > maxStatus {
		return errors.Newf("invalid response status %.10q", code)
	}
	return nil
}

// checkFraming returns an error if the fields give a length and chunks, so that the end of the body is ambiguous.
func checkFraming(fields []byte) error {
	hasLength, hasCoding := false, false
	for line := range bytes.Lines(fields) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		hasLength = hasLength || bytes.EqualFold(bytes.TrimSpace(name), []byte(fasthttp.HeaderContentLength))
		hasCoding = hasCoding || bytes.EqualFold(bytes.TrimSpace(name), []byte(fasthttp.HeaderTransferEncoding))
	}
	if hasLength && hasCoding {
		return errors.New("response has both a length and a transfer coding")
	}
	return nil
}
