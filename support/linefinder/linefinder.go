// Package linefinder finds the ends of lines that end with a line feed, a carriage return or both.
package linefinder

import "bytes"

// windowBytes bounds how far one byte is searched for before the other one, so that the time is linear in the text.
const windowBytes = 256

// Index returns the index of the first line feed or carriage return; -1 if there is none.
func Index(text []byte) int {
	for from := 0; from < len(text); from += windowBytes {
		window := text[from:min(from+windowBytes, len(text))]
		lineFeed := bytes.IndexByte(window, '\n')
		if lineFeed >= 0 {
			window = window[:lineFeed]
		}
		if i := bytes.IndexByte(window, '\r'); i >= 0 {
			return from + i
		}
		if lineFeed >= 0 {
			return from + lineFeed
		}
	}
	return -1
}
