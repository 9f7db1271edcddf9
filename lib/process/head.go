package process

// headScanner finds the end of a request's head in bytes that arrive one after the
// other. The zero value is at the start of a head.
type headScanner struct {
	// lines is the number of line ends so far.
	lines int
	// size is the number of bytes so far.
	size int
	// length is the length of the current line, and isCR whether its last byte is a
	// carriage return.
	length int
	isCR   bool
}

// scan reads bytes until the end of the head and returns their number. The head ends
// with an empty line; an empty line in its place is a head of its own, which net/http
// refuses or skips.
func (s *headScanner) scan(b []byte) (n int, complete bool) {
	for i, c := range b {
		if c != '\n' {
			s.length++
			s.isCR = c == '\r'
			continue
		}
		s.lines++
		if s.length == 0 || s.length == 1 && s.isCR {
			s.size += i + 1
			return i + 1, true
		}
		s.length, s.isCR = 0, false
	}
	s.size += len(b)
	return len(b), false
}
