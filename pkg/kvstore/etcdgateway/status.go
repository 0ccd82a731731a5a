package etcdgateway

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// gRPC status codes that the gateway reports.
const (
	codeInvalidArgument    = 3
	codeNotFound           = 5
	codePermissionDenied   = 7
	codeResourceExhausted  = 8
	codeFailedPrecondition = 9
	codeOutOfRange         = 11
	codeUnimplemented      = 12
	codeUnavailable        = 14
	codeUnauthenticated    = 16
)

// messageNoLeader means that the service rejected a write before it proposed it. Other messages with codeUnavailable,
// such as "request timed out" and "leader changed", are also sent for writes that take effect later.
const messageNoLeader = "etcdserver: no leader"

// statusError is an error response of the gateway.
type statusError struct {
	code    int64
	message string
}

func (e *statusError) Error() string {
	return "key-value store error: " + e.message
}

// parseStatus reads the unary form {"code","message"} and the stream form {"error":{"grpc_code","message"}}.
func parseStatus(raw []byte) *statusError {
	response, err := parseObject(raw)
	if err != nil {
		return &statusError{code: -1, message: "unreadable error response"}
	}
	if strings.HasPrefix(string(response["error"]), "{") {
		if response, err = response.child("error"); err != nil {
			return &statusError{code: -1, message: "unreadable error response"}
		}
	}
	status := &statusError{code: -1}
	for _, name := range []string{"code", "grpccode"} {
		if code, err := response.integer(name); err == nil && code != 0 {
			status.code = code
		}
	}
	if response.decode("message", &status.message) != nil || status.message == "" {
		status.message = "unspecified"
	}
	return status
}

// rejected reports whether the service rejected the call before it took effect.
func (e *statusError) rejected() bool {
	switch e.code {
	case codeInvalidArgument, codeNotFound, codePermissionDenied, codeResourceExhausted, codeFailedPrecondition,
		codeOutOfRange, codeUnimplemented, codeUnauthenticated:
		return true
	case codeUnavailable:
		return e.message == messageNoLeader
	default:
		return false
	}
}

// storeError maps an error response to the errors of kvstore.
func (e *statusError) storeError(write bool) error {
	switch {
	case e.code == codeNotFound && strings.Contains(e.message, "lease not found"):
		return wrapAs(kvstore.ErrLeaseNotFound, e)
	case strings.Contains(e.message, "request is too large"):
		return wrapAs(kvstore.ErrValueTooLarge, e)
	case write && !e.rejected():
		return wrapAs(kvstore.ErrOutcomeUnknown, e)
	default:
		return wrapAs(kvstore.ErrUnavailable, e)
	}
}

// wrapAs returns an error of the given kind with the text of the cause. It wraps the kind instead of marking the cause,
// because the standard library's errors.Is does not check marks.
func wrapAs(kind, cause error) error {
	return errors.WithSecondaryError(errors.Wrap(kind, cause.Error()), cause)
}
