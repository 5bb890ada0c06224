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
func EndToEnd(h http.Header, others ...string) http.Header {
	drop := append(slices.Clone(hopByHop), others...)
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			drop = append(drop, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	kept := make(http.Header, len(h))
	for name, values := range h {
		if !slices.Contains(drop, name) {
			kept[name] = values
		}
	}
	return kept
}
