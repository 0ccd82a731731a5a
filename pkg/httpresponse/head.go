package httpresponse

import (
	"bytes"
	"math"
)

// Framing is how the end of a body is found.
type Framing int

const (
	// NoBody means that the response ends with its head.
	NoBody Framing = iota
	// FixedLength means that the head states the length of the body.
	FixedLength
	// Chunked means that the body consists of chunks and ends with the last chunk and a trailer section.
	Chunked
	// CloseDelimited means that the body ends with the connection, which must end in order.
	CloseDelimited
)

// Head is what the head of a response says about its framing.
type Head struct {
	Status  int
	Framing Framing
	// Length is the length of a body with FixedLength in bytes.
	Length int
	// Size is the length of the head in bytes, with the empty line that ends it.
	Size int
}

const (
	minStatus    = 200
	maxStatus    = 599
	statusDigits = 3

	statusNoContent   = 204
	statusNotModified = 304
)

const (
	contentLengthName    = "Content-Length"
	transferEncodingName = "Transfer-Encoding"
	chunkedCoding        = "chunked"
)

// ParseHead parses a whole head, from its status line to the empty line that ends it. toHead is set for the response to a HEAD
// request. All its errors are of type *Error.
func ParseHead(block []byte, toHead bool) (Head, error) {
	line, rest, err := cutLine(block)
	if err != nil {
		return Head{}, err
	}
	status, oldVersion, err := parseStatusLine(line)
	if err != nil {
		return Head{}, err
	}
	fields := framingFields{}
	for {
		line, rest, err = cutLine(rest)
		if err != nil {
			return Head{}, err
		}
		if len(line) == 0 {
			break
		}
		name, value, err := parseField(line)
		if err != nil {
			return Head{}, err
		}
		if err := fields.add(name, value); err != nil {
			return Head{}, err
		}
	}
	if len(rest) > 0 {
		return Head{}, newError(CauseSize, "%d bytes after the head", len(rest))
	}
	if fields.chunked && oldVersion {
		return Head{}, newError(CauseFraming, "transfer coding in an HTTP/1.0 response")
	}
	framing, err := fields.framing(status, toHead)
	return Head{Status: status, Framing: framing, Length: fields.length, Size: len(block)}, err
}

// CheckDecoded checks the status and the fields of a head that net/http has decoded, which accepts statuses below 200 and blanks
// in names. Where the body ends must be clear from the body itself. All its errors are of type *Error.
func CheckDecoded(status int, fields map[string][]string) error {
	if status < minStatus || status > maxStatus {
		return newError(CauseStatusLine, "status %d", status)
	}
	for name, values := range fields {
		if !isToken([]byte(name)) {
			return newError(CauseFieldName, "name %.40q", name)
		}
		for _, value := range values {
			if !isFieldContent([]byte(value)) {
				return newError(CauseFieldValue, "value %.40q of field %.40q", value, name)
			}
		}
	}
	return nil
}

// cutLine returns the first line without its line end, and what follows it.
func cutLine(data []byte) (line, rest []byte, err error) {
	end := bytes.IndexByte(data, '\n')
	switch {
	case end < 0:
		return nil, nil, newError(CauseHeadCutOff, "no line end after %.40q", data)
	case end == 0 || data[end-1] != '\r':
		return nil, nil, newError(CauseLineEnd, "line %.40q ends without a carriage return", data[:end])
	}
	return data[:end-1], data[end+1:], nil
}

// parseStatusLine returns the status. oldVersion is set for HTTP/1.0. The space before an empty reason may be missing, as
// many servers omit it.
func parseStatusLine(line []byte) (status int, oldVersion bool, err error) {
	rest, found := bytes.CutPrefix(line, []byte("HTTP/1.1 "))
	if !found {
		rest, oldVersion = bytes.CutPrefix(line, []byte("HTTP/1.0 "))
	}
	if !found && !oldVersion {
		return 0, false, newError(CauseStatusLine, "%.40q", line)
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	status, ok := parseStatus(code)
	// An interim response would be followed by another head. No endpoint of this system sends one.
	if !ok || status < minStatus || status > maxStatus {
		return 0, false, newError(CauseStatusLine, "status %.10q", code)
	}
	if !isFieldContent(reason) {
		return 0, false, newError(CauseStatusLine, "reason %.40q", reason)
	}
	return status, oldVersion, nil
}

func parseStatus(code []byte) (status int, ok bool) {
	if len(code) != statusDigits {
		return 0, false
	}
	return parseDecimal(code)
}

// parseField splits a field line. White space around the value is optional and does not belong to it.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, newError(CauseFieldName, "field line %.40q", line)
	}
	value = bytes.Trim(value, " \t")
	if !isFieldContent(value) {
		return nil, nil, newError(CauseFieldValue, "value %.40q of field %.40q", value, name)
	}
	return name, value, nil
}

// framingFields collects the fields of a head that decide where its body ends.
type framingFields struct {
	length    int
	hasLength bool
	chunked   bool
}

func (f *framingFields) add(name, value []byte) error {
	switch {
	case equalFold(name, contentLengthName):
		length, ok := parseDecimal(value)
		if !ok || f.hasLength {
			return newError(CauseFraming, "length %.40q, repeated: %t", value, f.hasLength)
		}
		f.length, f.hasLength = length, true
	case equalFold(name, transferEncodingName):
		if !equalFold(value, chunkedCoding) || f.chunked {
			return newError(CauseFraming, "transfer coding %.40q, repeated: %t", value, f.chunked)
		}
		f.chunked = true
	}
	return nil
}

// framing returns how the body ends (RFC 9112, section 6.3).
func (f *framingFields) framing(status int, toHead bool) (Framing, error) {
	switch {
	case f.hasLength && f.chunked:
		return NoBody, newError(CauseFraming, "both a length and a transfer coding")
	case status == statusNoContent && (f.chunked || f.length > 0):
		return NoBody, newError(CauseFraming, "body announced with status %d", status)
	case toHead || status == statusNoContent || status == statusNotModified:
		return NoBody, nil
	case f.chunked:
		return Chunked, nil
	case f.hasLength:
		return FixedLength, nil
	}
	return CloseDelimited, nil
}

// parseDecimal parses one or more digits, without a sign.
func parseDecimal(text []byte) (n int, ok bool) {
	for _, c := range text {
		if c < '0' || c > '9' || n > (math.MaxInt-9)/10 {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, len(text) > 0
}

func equalFold(text []byte, want string) bool {
	return len(text) == len(want) && bytes.EqualFold(text, []byte(want))
}

// isToken reports whether the text is a token (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(text) > 0
}

// tokenBytes marks the bytes of which a token consists.
var tokenBytes = func() (table [256]bool) {
	const punctuation = "!#$%&'*+-.^_`|~"
	for c := range table {
		isDigit, isLetter := c >= '0' && c <= '9', c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		table[c] = isDigit || isLetter || bytes.IndexByte([]byte(punctuation), byte(c)) >= 0
	}
	return table
}()

// isFieldContent reports whether the text has no control byte except tabs (RFC 9110, section 5.5).
func isFieldContent(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == asciiDelete {
			return false
		}
	}
	return true
}

const asciiDelete = 0x7f
