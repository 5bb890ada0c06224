package intakeconn

// headMeter follows the bytes of a request's head and finds its end. The zero value is before the first byte.
type headMeter struct {
	// bytes and lines count what was received of the head.
	bytes, lines int
	// lineBytes is the size of the current line so far, without a carriage return.
	lineBytes int
	// ended is set once the empty line has arrived that ends the head.
	ended bool
}

// add follows received bytes, and returns how many of them belong to the head.
func (m *headMeter) add(data []byte) int {
	for i, b := range data {
		if m.ended {
			return i
		}
		m.bytes++
		switch b {
		case '\n':
			m.ended = m.lineBytes == 0 && m.lines > 0
			m.lines++
			m.lineBytes = 0
		case '\r':
		default:
			m.lineBytes++
		}
	}
	return len(data)
}
