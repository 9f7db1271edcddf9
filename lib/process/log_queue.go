package process

import "sync"

const (
	// maxQueuedLines and maxQueuedBytes bound the lines queued for the writer.
	maxQueuedLines = 4096
	maxQueuedBytes = 1 << 20
)

// queueLimits bound the size of a queue.
type queueLimits struct {
	lines int
	bytes int
}

// lineQueue holds lines until the writer takes them. If the queue is full, a new
// line replaces the oldest lines of lower priority, or is dropped.
type lineQueue struct {
	limits     queueLimits
	dropCounts *dropCounts
	// wake signals the writer that there is work, and urgent that it should
	// write without waiting for further lines.
	wake   chan struct{}
	urgent chan struct{}

	mu     sync.Mutex
	lists  [priorities]lineList
	bytes  int
	lines  int
	next   uint64
	closed bool
}

// queuedLine is a line with its sequence number among all lines.
type queuedLine struct {
	number uint64
	text   []byte
}

// lineList is a FIFO list of lines, oldest first.
type lineList struct {
	lines []queuedLine
	head  int
}

func newLineQueue(limits queueLimits, drops *dropCounts) *lineQueue {
	q := &lineQueue{
		limits: limits, dropCounts: drops,
		wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
	}
	drops.wake = q.wake
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
		q.dropCounts.addNoRoom(eventIn(text))
		return
	}
	notify(q.wake)
	if p == highPriority {
		notify(q.urgent)
	}
}

// makeRoom drops lines of lower priority until n bytes fit, and reports whether
// they do.
func (q *lineQueue) makeRoom(p priority, n int) bool {
	for low := lowPriority; !q.fits(n); {
		if low >= p {
			return false
		}
		if q.lists[low].empty() {
			low++
			continue
		}
		q.dropCounts.addNoRoom(eventIn(q.pop(low).text))
	}
	return true
}

func (q *lineQueue) fits(n int) bool {
	return q.lines < q.limits.lines && q.bytes+n <= q.limits.bytes
}

func (q *lineQueue) add(p priority, text []byte) {
	q.next++
	q.lists[p].push(queuedLine{number: q.next, text: append([]byte(nil), text...)})
	q.lines++
	q.bytes += len(text)
}

func (q *lineQueue) pop(p priority) queuedLine {
	line := q.lists[p].pop()
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

// oldest returns the priority of the oldest line.
func (q *lineQueue) oldest() priority {
	found := priority(-1)
	for p := range q.lists {
		list := &q.lists[p]
		if !list.empty() && (found < 0 || list.first().number < q.lists[found].first().number) {
			found = priority(p)
		}
	}
	return found
}

// close makes the queue drop all further lines.
func (q *lineQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	notify(q.wake)
	notify(q.urgent)
}

// drained reports whether the queue is closed and empty.
func (q *lineQueue) drained() bool {
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

// notify wakes the receiver of c without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
