// Package httpresponse decides whether the bytes that an endpoint sent are a whole, well-formed HTTP/1.x response (RFC 9112,
// sections 2 to 9, and RFC 9110, section 5), and where its body ends. It is stricter than HTTP libraries, which accept
// malformed heads for the sake of old servers. A library may decode the fields of a head that this package has accepted.
package httpresponse

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Cause is the kind of a defect. The causes are few, so that a metric may be labelled by them.
type Cause string

const (
	// CauseStatusLine is a malformed status line, or a status that is not that of a final response (200 to 599).
	CauseStatusLine Cause = "status_line"
	// CauseFieldName is a field line without a colon, or with a name that is empty or holds a byte that no name may hold.
	CauseFieldName Cause = "field_name"
	// CauseFieldValue is a control byte in the value of a field.
	CauseFieldValue Cause = "field_value"
	// CauseLineEnd is a line that ends without a carriage return.
	CauseLineEnd Cause = "line_end"
	// CauseFraming is a length or a transfer coding that is malformed, unknown, repeated, or contradicts another field.
	CauseFraming Cause = "framing"
	// CauseChunk is a malformed chunk.
	CauseChunk Cause = "chunk"
	// CauseSize is a head, a line of a chunk or a trailer section that is too large.
	CauseSize Cause = "size"
	// CauseHeadCutOff is a connection that ended or failed within a head.
	CauseHeadCutOff Cause = "head_cut_off"
	// CauseBodyCutOff is a connection that ended or failed before the end of a body.
	CauseBodyCutOff Cause = "body_cut_off"
)

// Error means that a response is not whole or not well-formed. Nothing of the response may be used, and its connection must
// be closed.
type Error struct {
	Cause  Cause
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("invalid response (%s): %s", e.Cause, e.Detail)
}

// CauseOf returns the cause of an error, or an empty string if the error is not that of a response.
func CauseOf(err error) Cause {
	var invalid *Error
	if errors.As(err, &invalid) {
		return invalid.Cause
	}
	return ""
}

func newError(cause Cause, format string, args ...any) *Error {
	return &Error{Cause: cause, Detail: fmt.Sprintf(format, args...)}
}
