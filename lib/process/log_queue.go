package process

import "sync"

const (
	// maxQueuedLines and maxQueuedBytes bound what waits for the writer.
	maxQueuedLines = 4096
	maxQueuedBytes = 1 << 20
)

// queueLimits bound a queue.
type queueLimits struct {
	lines int
	bytes int
}

// lineQueue holds lines until the writer takes them. A line for which there is
// no room replaces the oldest lines of lower priority, or is left out.
type lineQueue struct {
	limits  queueLimits
	leftOut *leftOut
	// wake tells the writer that there is something to do, and urgent that it
	// should not wait for more.
	wake   chan struct{}
	urgent chan struct{}

	mu     sync.Mutex
	waits  [priorities]lineList
	bytes  int
	lines  int
	next   uint64
	closed bool
}

// queuedLine is a line and its place in the order of all lines.
type queuedLine struct {
	number uint64
	text   []byte
}

// lineList is a list of lines, oldest first.
type lineList struct {
	lines []queuedLine
	head  int
}

func newLineQueue(limits queueLimits, lost *leftOut) *lineQueue {
	q := &lineQueue{
		limits: limits, leftOut: lost,
		wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
	}
	lost.wake = q.wake
	return q
}

// push queues a copy of a line.
func (q *lineQueue) push(p priority, text []byte) {
	q.mu.Lock()
	room := !q.closed && q.makeRoom(p, len(text))
	if room {
		q.add(p, text)
	}
	q.mu.Unlock()
	if !room {
		q.leftOut.addNoRoom(eventIn(text))
		return
	}
	notify(q.wake)
	if p == highPriority {
		notify(q.urgent)
	}
}

// makeRoom leaves out lines of lower priority until n bytes fit, and tells
// whether they do.
func (q *lineQueue) makeRoom(p priority, n int) bool {
	for low := lowPriority; !q.fits(n); {
		if low >= p {
			return false
		}
		if q.waits[low].empty() {
			low++
			continue
		}
		q.leftOut.addNoRoom(eventIn(q.pop(low).text))
	}
	return true
}

func (q *lineQueue) fits(n int) bool {
	return q.lines < q.limits.lines && q.bytes+n <= q.limits.bytes
}

func (q *lineQueue) add(p priority, text []byte) {
	q.next++
	q.waits[p].push(queuedLine{number: q.next, text: append([]byte(nil), text...)})
	q.lines++
	q.bytes += len(text)
}

func (q *lineQueue) pop(p priority) queuedLine {
	line := q.waits[p].pop()
	q.lines--
	q.bytes -= len(line.text)
	return line
}

// take appends the oldest lines to b, up to max bytes but at least one line.
func (q *lineQueue) take(b []byte, max int) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.lines > 0 && len(b) < max {
		b = append(b, q.pop(q.oldest()).text...)
	}
	return b
}

// oldest returns the priority whose first line is the oldest of all.
func (q *lineQueue) oldest() priority {
	found := priority(-1)
	for p := range q.waits {
		list := &q.waits[p]
		if !list.empty() && (found < 0 || list.first().number < q.waits[found].first().number) {
			found = priority(p)
		}
	}
	return found
}

// close lets nothing more in.
func (q *lineQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	notify(q.wake)
	notify(q.urgent)
}

// ended tells whether the queue is closed and empty.
func (q *lineQueue) ended() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed && q.lines == 0
}

func (l *lineList) empty() bool          { return l.head == len(l.lines) }
func (l *lineList) first() *queuedLine   { return &l.lines[l.head] }
func (l *lineList) push(line queuedLine) { l.lines = append(l.lines, line) }

func (l *lineList) pop() queuedLine {
	line := l.lines[l.head]
	l.lines[l.head] = queuedLine{}
	l.head++
	if l.empty() {
		l.lines, l.head = l.lines[:0], 0
	}
	return line
}

// notify wakes the receiver of c.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
