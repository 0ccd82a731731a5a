package httpresponse_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/httpresponse"
)

const readerBytes = 16 << 10

// readResponse reads a response whose connection ends in order after the data.
func readResponse(data []byte, toHead bool) (httpresponse.Head, []byte, error) {
	reader := bufio.NewReaderSize(bytes.NewReader(data), readerBytes)
	head, err := httpresponse.PeekHead(reader, toHead)
	if err != nil {
		return head, nil, err
	}
	_, _ = reader.Discard(head.Size)
	body, err := io.ReadAll(httpresponse.NewBody(reader, head))
	return head, body, err
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against bytes that are no whole, well-formed response being taken for one.
func TestBrokenResponses(t *testing.T) {
	head := func(fields string) string { return "HTTP/1.1 200 OK\r\n" + fields + "\r\nok" }
	status := func(line string) string { return line + "\r\nContent-Length: 2\r\n\r\nok" }
	for _, c := range []struct {
		name  string
		data  string
		cause httpresponse.Cause
	}{
		{"status 000", status("HTTP/1.1 000 OK"), httpresponse.CauseStatusLine},
		{"status 199", status("HTTP/1.1 199 OK"), httpresponse.CauseStatusLine},
		{"status 600", status("HTTP/1.1 600 OK"), httpresponse.CauseStatusLine},
		{"status of two digits", status("HTTP/1.1 20 OK"), httpresponse.CauseStatusLine},
		{"status of four digits", status("HTTP/1.1 2000 OK"), httpresponse.CauseStatusLine},
		{"status with a letter", status("HTTP/1.1 2O0 OK"), httpresponse.CauseStatusLine},
		{"tab after the status", status("HTTP/1.1 200\tOK"), httpresponse.CauseStatusLine},
		{"two spaces before the status", status("HTTP/1.1  200 OK"), httpresponse.CauseStatusLine},
		{"HTTP/2.0", status("HTTP/2.0 200 OK"), httpresponse.CauseStatusLine},
		{"version in lower case", status("http/1.1 200 OK"), httpresponse.CauseStatusLine},
		{"control byte in the reason", status("HTTP/1.1 200 O\x00K"), httpresponse.CauseStatusLine},
		{"carriage return in the reason", status("HTTP/1.1 200 O\rK"), httpresponse.CauseStatusLine},
		{"empty line first", "\r\n" + status("HTTP/1.1 200 OK"), httpresponse.CauseStatusLine},
		{"blank first", " " + status("HTTP/1.1 200 OK"), httpresponse.CauseStatusLine},
		{"blank in a name", head("X A: b\r\n"), httpresponse.CauseFieldName},
		{"blank after a name", head("Content-Length : 2\r\n"), httpresponse.CauseFieldName},
		{"tab after a name", head("Content-Length\t: 2\r\n"), httpresponse.CauseFieldName},
		{"blank before a name", head("A: b\r\n Content-Length: 2\r\n"), httpresponse.CauseFieldName},
		{"blank before the first name", head(" Content-Length: 2\r\n"), httpresponse.CauseFieldName},
		{"continued line", head("A: b\r\n\tc: d\r\n"), httpresponse.CauseFieldName},
		{"line of blanks", head("A: b\r\n \r\n"), httpresponse.CauseFieldName},
		{"empty name", head(": b\r\n"), httpresponse.CauseFieldName},
		{"no colon", head("Content-Length\r\n"), httpresponse.CauseFieldName},
		{"NUL in a name", head("X\x00A: b\r\n"), httpresponse.CauseFieldName},
		{"delete in a name", head("X\x7fA: b\r\n"), httpresponse.CauseFieldName},
		{"carriage return in a name", head("X\rA: b\r\n"), httpresponse.CauseFieldName},
		{"byte beyond ASCII in a name", head("X\xe9: b\r\n"), httpresponse.CauseFieldName},
		{"separator in a name", head("X(A): b\r\n"), httpresponse.CauseFieldName},
		{"second status line", head("HTTP/1.1 200 OK\r\n"), httpresponse.CauseFieldName},
		{"NUL in a value", head("A: b\x00c\r\n"), httpresponse.CauseFieldValue},
		{"escape in a value", head("A: b\x1bc\r\n"), httpresponse.CauseFieldValue},
		{"delete in a value", head("A: b\x7f\r\n"), httpresponse.CauseFieldValue},
		{"carriage return in a value", head("A: b\rc\r\n"), httpresponse.CauseFieldValue},
		{"two carriage returns", head("A: b\r\r\n"), httpresponse.CauseFieldValue},
		{"status line that ends with a line feed", "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok", httpresponse.CauseLineEnd},
		{"field that ends with a line feed", head("A: b\nContent-Length: 2\r\n"), httpresponse.CauseLineEnd},
		{"head that ends with a line feed", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok", httpresponse.CauseLineEnd},
		{"length with a sign", head("Content-Length: +2\r\n"), httpresponse.CauseFraming},
		{"negative length", head("Content-Length: -2\r\n"), httpresponse.CauseFraming},
		{"empty length", head("Content-Length:\r\n"), httpresponse.CauseFraming},
		{"length with an inner blank", head("Content-Length: 1 2\r\n"), httpresponse.CauseFraming},
		{"list of lengths", head("Content-Length: 2, 2\r\n"), httpresponse.CauseFraming},
		{"hexadecimal length", head("Content-Length: 0x2\r\n"), httpresponse.CauseFraming},
		{"length beyond all numbers", head("Content-Length: 18446744073709551618\r\n"), httpresponse.CauseFraming},
		{"two lengths", head("Content-Length: 2\r\ncontent-length: 2\r\n"), httpresponse.CauseFraming},
		{"length and chunks", head("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"), httpresponse.CauseFraming},
		{"other coding", head("Transfer-Encoding: gzip, chunked\r\n"), httpresponse.CauseFraming},
		{"identity coding", head("Transfer-Encoding: identity\r\n"), httpresponse.CauseFraming},
		{"two codings", head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), httpresponse.CauseFraming},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", httpresponse.CauseFraming},
		{"204 with a body", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok", httpresponse.CauseFraming},
		{"204 with chunks", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", httpresponse.CauseFraming},
		{"end in the status line", "HTTP/1.1 200 OK", httpresponse.CauseHeadCutOff},
		{"end after the status line", "HTTP/1.1 200 OK\r\n", httpresponse.CauseHeadCutOff},
		{"end in a name", "HTTP/1.1 200 OK\r\nContent-Le", httpresponse.CauseHeadCutOff},
		{"end after a field", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", httpresponse.CauseHeadCutOff},
		{"end in the empty line", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r", httpresponse.CauseHeadCutOff},
		{"head too large", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", readerBytes) + "\r\n\r\n", httpresponse.CauseSize},
		{"end before the length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", httpresponse.CauseBodyCutOff},
		{"end before the first byte", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", httpresponse.CauseBodyCutOff},
		{"end before the first chunk", chunkedHead, httpresponse.CauseBodyCutOff},
		{"end in a chunk size", chunkedHead + "2", httpresponse.CauseBodyCutOff},
		{"end in a chunk", chunkedHead + "3\r\nok", httpresponse.CauseBodyCutOff},
		{"end after a chunk's data", chunkedHead + "2\r\nok", httpresponse.CauseBodyCutOff},
		{"end before the last chunk", chunkedHead + "2\r\nok\r\n", httpresponse.CauseBodyCutOff},
		{"end after the last chunk", chunkedHead + "2\r\nok\r\n0\r\n", httpresponse.CauseBodyCutOff},
		{"end in a trailer", chunkedHead + "2\r\nok\r\n0\r\nA: b\r\n", httpresponse.CauseBodyCutOff},
		{"no chunk size", chunkedHead + "\r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"chunk size with a sign", chunkedHead + "+2\r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"chunk size with a prefix", chunkedHead + "0x2\r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"blank before a chunk size", chunkedHead + " 2\r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"blank after a chunk size", chunkedHead + "2 \r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"text after a chunk size", chunkedHead + "2 a\r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"chunk size beyond all numbers", chunkedHead + "10000000000000002\r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"extension without a name", chunkedHead + "2;\r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"extension without a value", chunkedHead + "2;a=\r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"control byte in an extension", chunkedHead + "2;a=\"\x00\"\r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"extension whose quotes stay open", chunkedHead + "2;a=\"b\\\"\r\nok\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"chunk longer than its size", chunkedHead + "2\r\nokay\r\n0\r\n\r\n", httpresponse.CauseChunk},
		{"chunk line that ends with a line feed", chunkedHead + "2\nok\r\n0\r\n\r\n", httpresponse.CauseLineEnd},
		{"chunk that ends with a line feed", chunkedHead + "2\r\nok\n0\r\n\r\n", httpresponse.CauseLineEnd},
		{"chunk line too long", chunkedHead + strings.Repeat("0", readerBytes) + "2\r\nok\r\n0\r\n\r\n", httpresponse.CauseSize},
		{"extensions without end", chunkedHead + strings.Repeat("1;a="+strings.Repeat("b", 1000)+"\r\nx\r\n", 20), httpresponse.CauseSize},
		{"blank in a trailer's name", chunkedHead + "0\r\nX A: b\r\n\r\n", httpresponse.CauseFieldName},
		{"control byte in a trailer's value", chunkedHead + "0\r\nA: \x00\r\n\r\n", httpresponse.CauseFieldValue},
		{"trailers without end", chunkedHead + "0\r\n" + strings.Repeat("A: b\r\n", 5000), httpresponse.CauseSize},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, body, err := readResponse([]byte(c.data), false)
			if cause := httpresponse.CauseOf(err); cause != c.cause {
				t.Errorf("cause is %q, want %q; body %q, error %v", cause, c.cause, body, err)
			}
		})
	}
}

// Guards against a head being taken for whole because it ends at an unlucky place.
func TestEachPartOfAHeadIsRejected(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n", "HTTP/1.0 503 \r\n\r\n"} {
		for length := 1; length < len(head); length++ {
			if _, _, err := readResponse([]byte(head[:length]), false); httpresponse.CauseOf(err) != httpresponse.CauseHeadCutOff {
				t.Errorf("%q: %v", head[:length], err)
			}
		}
	}
}

// Guards against dropping a response that is unusual and sound.
func TestSoundResponses(t *testing.T) {
	for _, c := range []struct {
		name string
		data string
		body string
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"no reason", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"no space before no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"reason beyond ASCII", "HTTP/1.1 200 d\xe9j\xe0 \tvu\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"neither length nor chunks", "HTTP/1.1 200 OK\r\n\r\nok", "ok"},
		{"neither length nor chunks nor body", "HTTP/1.1 200 OK\r\n\r\n", ""},
		{"white space around values", "HTTP/1.1 200 OK\r\nContent-Length: \t 2 \t\r\nA:b\r\nC:  d  e\t\r\n\r\nok", "ok"},
		{"white space around a coding", "HTTP/1.1 200 OK\r\ntransfer-encoding:\tChunked \r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
		{"empty values", "HTTP/1.1 200 OK\r\nA:\r\nB: \r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"unknown names", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9z: b\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"value beyond ASCII", "HTTP/1.1 200 OK\r\nA: \xe9\x80\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"colon in a value", "HTTP/1.1 200 OK\r\nA: b: c:\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"length with leading zeros", "HTTP/1.1 200 OK\r\nContent-Length: 002\r\n\r\nok", "ok"},
		{"chunks", chunkedHead + "1\r\no\r\n1\r\nk\r\n0\r\n\r\n", "ok"},
		{"chunk size in upper case", chunkedHead + "A\r\n0123456789\r\n0\r\n\r\n", "0123456789"},
		{"chunk size with leading zeros", chunkedHead + "0002\r\nok\r\n000\r\n\r\n", "ok"},
		{"chunk extensions", chunkedHead + "2;a;b=c ; d = \"e;\\\"f\"\r\nok\r\n0;g\r\n\r\n", "ok"},
		{"trailers", chunkedHead + "2\r\nok\r\n0\r\nA: b\r\nC:\r\n\r\n", "ok"},
		{"no chunks", chunkedHead + "0\r\n\r\n", ""},
		{"204", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"204 with the length of no body", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
		{"304 with the length of what it names", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, body, err := readResponse([]byte(c.data), false); err != nil || string(body) != c.body {
				t.Errorf("body is %q, want %q; error %v", body, c.body, err)
			}
		})
	}
	for status := 200; status <= 599; status++ {
		head, _, err := readResponse([]byte("HTTP/1.1 "+strconv.Itoa(status)+" Any\r\nContent-Length: 0\r\n\r\n"), false)
		if err != nil || head.Status != status {
			t.Errorf("status %d: %d, %v", status, head.Status, err)
		}
	}
}

// Guards against waiting for the line end of bytes that can begin no response.
func TestBytesThatBeginNoHeadAreRejectedAsTheyArrive(t *testing.T) {
	for _, data := range []string{"x", "220 ready", "HTTP/2", "HTP", "http/1.1 200 OK", "\n", " HTTP/1.1"} {
		waits := false
		endpoint := readerFunc(func([]byte) (int, error) {
			waits = true
			return 0, io.EOF
		})
		reader := bufio.NewReaderSize(io.MultiReader(strings.NewReader(data), endpoint), readerBytes)
		if _, err := httpresponse.PeekHead(reader, false); httpresponse.CauseOf(err) != httpresponse.CauseStatusLine || waits {
			t.Errorf("%q: %v, waits for more: %t", data, err, waits)
		}
	}
}

// readerFunc is a function that implements io.Reader.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a body that is expected after the response to a HEAD request.
func TestResponseToHeadHasNoBody(t *testing.T) {
	for _, fields := range []string{"", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n"} {
		head, body, err := readResponse([]byte("HTTP/1.1 200 OK\r\n"+fields+"\r\n"), true)
		if err != nil || head.Framing != httpresponse.NoBody || len(body) > 0 {
			t.Errorf("%q: framing %d, body %q, error %v", fields, head.Framing, body, err)
		}
	}
}

// Guards against an error of the connection that is lost, in particular one that lets a part look whole, and against a
// deadline that counts as the endpoint's fault.
func TestErrorsOfTheConnection(t *testing.T) {
	reset := errors.New("connection reset")
	for _, data := range []string{"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", chunkedHead + "4\r\npart\r\n"} {
		reader := bufio.NewReaderSize(io.MultiReader(strings.NewReader(data), iotest.ErrReader(reset)), readerBytes)
		head, err := httpresponse.PeekHead(reader, false)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = reader.Discard(head.Size)
		body := httpresponse.NewBody(reader, head)
		for range 2 {
			if _, err := io.ReadAll(body); httpresponse.CauseOf(err) != httpresponse.CauseBodyCutOff {
				t.Errorf("%q: %v", data, err)
			}
		}
	}
	empty := bufio.NewReader(iotest.ErrReader(reset))
	if _, err := httpresponse.PeekHead(empty, false); !errors.Is(err, reset) || httpresponse.CauseOf(err) != "" {
		t.Errorf("no byte of a head: %v", err)
	}
}

// Guards against a response whose end depends on how its bytes are split into packets.
func TestBytesMayArriveOneByOne(t *testing.T) {
	data := chunkedHead + "2;a=b\r\nok\r\n3\r\nay!\r\n0\r\nA: b\r\n\r\n"
	reader := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(data)), readerBytes)
	head, err := httpresponse.PeekHead(reader, false)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = reader.Discard(head.Size)
	if body, err := io.ReadAll(httpresponse.NewBody(reader, head)); err != nil || string(body) != "okay!" {
		t.Errorf("body %q, error %v", body, err)
	}
}

// Guards against a response that is accepted and whose bytes mean something else to another parser, and against a prefix that
// is accepted as the whole of a response that states its length.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", chunkedHead + "2;a=\"b\"\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.0 503 Busy\r\nX A: b\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\nA: b\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head, body, err := readResponse(data, false)
		if err != nil {
			if httpresponse.CauseOf(err) == "" && len(data) > 0 {
				t.Fatalf("error without a cause: %v", err)
			}
			return
		}
		for _, c := range data[:head.Size] {
			if c < ' ' && c != '\t' && c != '\r' && c != '\n' || c == 0x7f {
				t.Fatalf("control byte %q in a head", c)
			}
		}
		other, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			t.Fatalf("net/http rejects the head: %v", err)
		}
		otherBody, err := io.ReadAll(other.Body)
		if err != nil || other.StatusCode != head.Status || !bytes.Equal(otherBody, body) {
			t.Fatalf("net/http reads status %d, body %q, error %v instead of %d, %q", other.StatusCode, otherBody, err, head.Status, body)
		}
		if head.Framing != httpresponse.FixedLength && head.Framing != httpresponse.Chunked || len(body) == 0 {
			return
		}
		if _, _, err := readResponse(data[:head.Size+len(body)-1], false); err == nil {
			t.Fatal("a prefix is accepted as the whole")
		}
	})
}
