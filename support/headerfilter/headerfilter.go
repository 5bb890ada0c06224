// Package headerfilter takes header fields out of what is passed on.
package headerfilter

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop lists the header fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd gives the header fields that may be passed on: a copy without those
// of one connection, which the header may name itself, and without some others,
// whose names are in canonical form.
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
