package httpresponse

import (
	"bufio"
	"bytes"
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

const (
	// maxTrailerBytes bounds a trailer section.
	maxTrailerBytes = 16 << 10
	// maxChunkOverhead bounds by how many bytes the lines of chunks may exceed chunkOverhead for each chunk and twice its
	// data, so that chunk extensions or tiny chunks without end are given up.
	maxChunkOverhead = 16 << 10
	chunkOverhead    = 16
)

// chunkedBody reads a body of chunks (RFC 9112, section 7.1). It drops chunk extensions and the trailer section.
type chunkedBody struct {
	reader *bufio.Reader
	// remaining is how much of the current chunk's data is left.
	remaining int
	// endsChunk is set while the line end after the data of a chunk is due. It is read with the next chunk, so that data is
	// not held back until then.
	endsChunk bool
	overhead  int
	err       error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.remaining == 0 {
		if b.err = b.beginChunk(); b.err != nil {
			return 0, b.err
		}
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	b.endsChunk = b.remaining == 0
	if err != nil {
		b.err = bodyError(err)
	}
	return n, b.err
}

// beginChunk reads up to the data of the next chunk. It returns io.EOF after the last chunk and the trailer section.
func (b *chunkedBody) beginChunk() error {
	if b.endsChunk {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return newError(CauseChunk, "%.40q after the data of a chunk", line)
		}
		b.endsChunk = false
	}
	line, err := b.readLine()
	if err != nil {
		return err
	}
	size, err := parseChunkLine(line)
	if err != nil {
		return err
	}
	if size == 0 {
		return b.readTrailer()
	}
	b.remaining = size
	b.overhead = max(0, b.overhead+len(line)-chunkOverhead-2*min(size, maxChunkOverhead))
	if b.overhead > maxChunkOverhead {
		return newError(CauseSize, "chunk extensions")
	}
	return nil
}

// readTrailer reads the trailer section. Its fields must be well-formed and are dropped.
func (b *chunkedBody) readTrailer() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		if _, _, err := parseField(line); err != nil {
			return err
		}
		size += len(line)
	}
	return newError(CauseSize, "trailer section exceeds %d bytes", maxTrailerBytes)
}

// readLine returns a line without its line end. The slice is valid until the next read.
func (b *chunkedBody) readLine() ([]byte, error) {
	data, err := b.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, newError(CauseSize, "line of a chunk exceeds %d bytes", len(data))
	}
	if err != nil {
		return nil, bodyError(err)
	}
	line, _, err := cutLine(data)
	return line, err
}

// parseChunkLine returns the size of a chunk's data.
func parseChunkLine(line []byte) (int, error) {
	size, digits := 0, 0
	for ; digits < len(line); digits++ {
		value := hexValue(line[digits])
		if value < 0 {
			break
		}
		if size > math.MaxInt>>5 {
			return 0, newError(CauseChunk, "chunk size %.40q is too large", line)
		}
		size = size<<4 | value
	}
	if digits == 0 || !isChunkExtensions(line[digits:]) {
		return 0, newError(CauseChunk, "chunk line %.40q", line)
	}
	return size, nil
}

func hexValue(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// isChunkExtensions reports whether the text consists of any number of extensions, each a semicolon and a name, with or
// without a value (RFC 9112, section 7.1.1).
func isChunkExtensions(text []byte) bool {
	for len(text) > 0 {
		rest, found := cutDelimiter(text, ';')
		name, rest := cutToken(rest)
		if !found || len(name) == 0 {
			return false
		}
		text = rest
		if rest, found := cutDelimiter(text, '='); found {
			if text, found = cutValue(rest); !found {
				return false
			}
		}
	}
	return true
}

// cutDelimiter returns what follows a delimiter that may have white space around it.
func cutDelimiter(text []byte, delimiter byte) (rest []byte, found bool) {
	trimmed := bytes.TrimLeft(text, " \t")
	if len(trimmed) == 0 || trimmed[0] != delimiter {
		return text, false
	}
	return bytes.TrimLeft(trimmed[1:], " \t"), true
}

// cutToken splits the text after the token with which it begins.
func cutToken(text []byte) (token, rest []byte) {
	length := 0
	for length < len(text) && tokenBytes[text[length]] {
		length++
	}
	return text[:length], text[length:]
}

// cutValue returns what follows the token or the quoted string with which the text begins.
func cutValue(text []byte) (rest []byte, found bool) {
	if len(text) == 0 || text[0] != '"' {
		token, rest := cutToken(text)
		return rest, len(token) > 0
	}
	for i := 1; i < len(text); i++ {
		switch {
		case text[i] == '"':
			return text[i+1:], true
		case text[i] == '\\':
			i++
		}
		if i >= len(text) || !isFieldContent(text[i:i+1]) {
			return nil, false
		}
	}
	return nil, false
}
