package httpclient

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrInvalidStatus reports a response whose status is none of HTTP. What an upstream in trouble sends as such is no
// response.
var ErrInvalidStatus = errors.New("the status is none of HTTP")

// maxStatus is the highest status that HTTP defines a meaning for.
const maxStatus = 599

// IsStatus reports whether a number is a status of HTTP. net/http takes any number of three digits for one.
func IsStatus(code int) bool {
	return code >= http.StatusContinue && code <= maxStatus
}
