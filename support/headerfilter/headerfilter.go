// Package headerfilter removes header fields that must not be forwarded.
package headerfilter

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a header without hop-by-hop fields, including those named by the
// Connection field, and without the extra fields, whose names are in canonical
// form. It shares its values with h.
func EndToEnd(h http.Header, extra ...string) http.Header {
	removed := append(slices.Clone(hopByHop), extra...)
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			removed = append(removed, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	filtered := make(http.Header, len(h))
	for name, values := range h {
		if !slices.Contains(removed, name) {
			filtered[name] = values
		}
	}
	return filtered
}
