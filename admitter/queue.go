package admitter

import (
	"container/heap"
	"time"
)

// priorities is the number of classes of the queue; lower priorities share the last one.
const priorities = 10

// overdueFraction is the part of its wait after which a request goes first.
const overdueFraction = 0.5

type (
	// Entry is a request that waits.
	Entry struct {
		Request Request
		// Until is the end of the wait at the latest.
		Until time.Time
		// Value is for the caller.
		Value any

		since, overdueAt time.Time
		flow             *flow
		inFlow, inAll    int
	}

	// Queue holds the requests that wait, in the order in which they are to be sent: those
	// that have waited for half of their time, then by priority, then by the fair shares
	// of the workspaces, then by when they are due. Its zero value is empty
	// and holds nothing. It is not safe for concurrent use.
	Queue struct {
		// MaxEntries and MaxBytes bound the requests that wait and the memory they hold.
		MaxEntries int
		MaxBytes   int64

		bytes   int64
		classes [priorities]class
		// all has every entry, by the time at which it is overdue.
		all indexed[*Entry]
	}

	// class holds the requests of one priority.
	class struct {
		// active has the flows with entries, by their start tags, and flows all that have
		// had some since the class was last empty.
		active indexed[*flow]
		flows  map[string]*flow
		// now is the start tag of the flow that was last served.
		now     float64
		entries int
	}

	// flow holds the requests of one workspace in a class. start is the work that the
	// workspace has been given, as in start-time fair queueing: one that was idle begins
	// at the present tag of the class.
	flow struct {
		start   float64
		entries indexed[*Entry]
		index   int
	}

	// indexed is a heap whose elements know their index, so that they can be removed.
	indexed[T any] struct {
		items []T
		less  func(a, b T) bool
		moved func(v T, i int)
	}
)

// Push adds an entry, whose Request and Until are set, and reports whether the bounds
// allowed it.
func (q *Queue) Push(e *Entry, now time.Time) bool {
	if q.Len() >= q.MaxEntries || q.bytes+e.Request.Bytes > q.MaxBytes {
		return false
	}
	e.since = now
	e.overdueAt = now.Add(time.Duration(overdueFraction * float64(e.Until.Sub(now))))
	q.insert(e)
	return true
}

// Return puts back an entry that was taken and not sent.
func (q *Queue) Return(e *Entry) { q.insert(e) }

func (q *Queue) insert(e *Entry) {
	c := q.class(e)
	if c.flows == nil {
		c.flows = make(map[string]*flow)
		c.active.less = func(a, b *flow) bool { return a.start < b.start }
		c.active.moved = func(f *flow, i int) { f.index = i }
	}
	f := c.flows[e.Request.Workspace]
	if f == nil {
		f = &flow{}
		f.entries.less = func(a, b *Entry) bool { return a.Request.Due.Before(b.Request.Due) }
		f.entries.moved = func(e *Entry, i int) { e.inFlow = i }
		c.flows[e.Request.Workspace] = f
	}
	if f.entries.Len() == 0 {
		f.start = max(f.start, c.now)
		heap.Push(&c.active, f)
	}
	e.flow = f
	heap.Push(&f.entries, e)
	if q.all.less == nil {
		q.all.less = func(a, b *Entry) bool { return a.overdueAt.Before(b.overdueAt) }
		q.all.moved = func(e *Entry, i int) { e.inAll = i }
	}
	heap.Push(&q.all, e)
	c.entries++
	q.bytes += e.Request.Bytes
}

// Take removes and returns the entry that goes first, nil if there is none.
func (q *Queue) Take(now time.Time) *Entry {
	if q.Len() == 0 {
		return nil
	}
	if e := q.all.items[0]; !now.Before(e.overdueAt) {
		q.Remove(e)
		return e
	}
	for i := range q.classes {
		if c := &q.classes[i]; c.entries > 0 {
			e := c.active.items[0].entries.items[0]
			q.Remove(e)
			return e
		}
	}
	return nil
}

// Charge counts the work of an entry that was taken and sent against its workspace.
func (q *Queue) Charge(e *Entry) {
	c, f := q.class(e), e.flow
	c.now = max(c.now, f.start)
	f.start += e.Request.Work
	if f.entries.Len() > 0 {
		heap.Fix(&c.active, f.index)
	}
	if c.entries == 0 {
		// No workspace waits that a share could be compared with.
		c.flows, c.now = nil, 0
	}
}

// Remove removes an entry.
func (q *Queue) Remove(e *Entry) {
	c, f := q.class(e), e.flow
	heap.Remove(&f.entries, e.inFlow)
	heap.Remove(&q.all, e.inAll)
	if f.entries.Len() == 0 {
		heap.Remove(&c.active, f.index)
	}
	c.entries--
	q.bytes -= e.Request.Bytes
}

// First returns the entry that is overdue first. The queue must not be empty.
func (q *Queue) First() *Entry { return q.all.items[0] }

// Len returns the number of entries.
func (q *Queue) Len() int { return q.all.Len() }

// Ahead returns the number of entries that go before a new one of the priority.
func (q *Queue) Ahead(priority int) int {
	n := 0
	for i := range classOf(priority) + 1 {
		n += q.classes[i].entries
	}
	return n
}

// Waited returns the time for which an entry has waited.
func (e *Entry) Waited(now time.Time) time.Duration { return now.Sub(e.since) }

func (q *Queue) class(e *Entry) *class { return &q.classes[classOf(e.Request.Priority)] }

func classOf(priority int) int { return min(max(priority, 0), priorities-1) }

// Len implements heap.Interface.
func (h *indexed[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexed[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexed[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.moved(h.items[i], i)
	h.moved(h.items[j], j)
}

// Push implements heap.Interface.
func (h *indexed[T]) Push(v any) {
	h.items = append(h.items, v.(T))
	h.moved(v.(T), len(h.items)-1)
}

// Pop implements heap.Interface.
func (h *indexed[T]) Pop() any {
	var zero T
	last := len(h.items) - 1
	v := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	return v
}
