package admitter

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"
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

		since, overdueAt    time.Time
		seq                 uint64
		flow                *flow
		workspace           *workspace
		inFlow, inWorkspace int
	}

	// Queue holds the requests that wait, in the order in which they are to be sent: those
	// that have waited for half of their time, then by priority, then by the fair shares
	// of the workspaces, then by rank, then by when they are due. Its zero value is empty
	// and holds nothing. It is not safe for concurrent use.
	Queue struct {
		// MaxEntries and MaxBytes bound the requests that wait and the memory they hold.
		MaxEntries int
		MaxBytes   int64
		// KeepShares lets requests that have waited for half of their time go first among
		// those of their workspace only. It is for waits that are long compared to the time
		// for which a request runs: the backlog of one workspace would otherwise go before
		// all new requests of the others for as long as an overload lasts.
		KeepShares bool

		entries int
		bytes   int64
		// seq is that of the next entry.
		seq        uint64
		classes    [priorities]class
		workspaces map[string]*workspace
		// ready has the workspaces that have entries and are not held, by the time at which
		// their first entry is overdue.
		ready indexed[*workspace]
	}

	// class holds the requests of one priority.
	class struct {
		// active has the flows with entries whose workspaces are not held, by their start
		// tags, and flows all that have had some since the class was last empty.
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
		active  bool
		index   int
	}

	// workspace holds all requests of a workspace by the time at which they are overdue.
	// It exists while it has some or is held.
	workspace struct {
		entries indexed[*Entry]
		held    bool
		ready   bool
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
	e.seq = q.seq
	q.seq++
	q.insert(e)
	return true
}

// Return puts back an entry that was taken and not sent.
func (q *Queue) Return(e *Entry) { q.insert(e) }

func (q *Queue) insert(e *Entry) {
	c, ws := q.class(e), q.workspace(e.Request.Workspace)
	if c.flows == nil {
		c.flows = make(map[string]*flow)
		c.active.less = func(a, b *flow) bool { return a.start < b.start }
		c.active.moved = func(f *flow, i int) { f.index = i }
	}
	f := c.flows[e.Request.Workspace]
	if f == nil {
		f = &flow{}
		f.entries.less = (*Entry).goesBefore
		f.entries.moved = func(e *Entry, i int) { e.inFlow = i }
		c.flows[e.Request.Workspace] = f
	}
	e.flow, e.workspace = f, ws
	heap.Push(&f.entries, e)
	heap.Push(&ws.entries, e)
	c.activate(f, ws)
	q.update(ws)
	c.entries++
	q.entries++
	q.bytes += e.Request.Bytes
}

// Take removes and returns the entry that goes first, nil if there is none.
func (q *Queue) Take(now time.Time) *Entry {
	if q.ready.Len() == 0 {
		return nil
	}
	if e := q.ready.items[0].entries.items[0]; !q.KeepShares && !now.Before(e.overdueAt) {
		q.Remove(e)
		return e
	}
	for i := range q.classes {
		if c := &q.classes[i]; c.active.Len() > 0 {
			e := c.active.items[0].entries.items[0]
			if first := e.workspace.entries.items[0]; !now.Before(first.overdueAt) {
				e = first
			}
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
	q.addWork(e, e.Request.Work)
	if c.entries == 0 {
		// No workspace waits that a share could be compared with.
		c.flows, c.now = nil, 0
	}
}

// Correct replaces the work of an entry that was charged by the one that it turned out
// to be. An entry that was never pushed was not charged.
func (q *Queue) Correct(e *Entry, work float64) {
	if e.flow == nil {
		return
	}
	q.addWork(e, work-e.Request.Work)
	e.Request.Work = work
}

func (q *Queue) addWork(e *Entry, work float64) {
	e.flow.start += work / float64(max(e.Request.Share, 1))
	if e.flow.active {
		heap.Fix(&q.class(e).active, e.flow.index)
	}
}

// Remove removes an entry.
func (q *Queue) Remove(e *Entry) {
	c, f, ws := q.class(e), e.flow, e.workspace
	heap.Remove(&f.entries, e.inFlow)
	heap.Remove(&ws.entries, e.inWorkspace)
	if f.entries.Len() == 0 {
		c.deactivate(f)
	}
	q.update(ws)
	if ws.entries.Len() == 0 && !ws.held {
		delete(q.workspaces, e.Request.Workspace)
	}
	c.entries--
	q.entries--
	q.bytes -= e.Request.Bytes
}

// Hold sets whether the requests of a workspace stay in the queue, because it has
// reached a limit of its own. It begins at the present tag afterwards, like one that was
// idle.
func (q *Queue) Hold(name string, held bool) {
	if q.workspaces[name] == nil && !held {
		return
	}
	ws := q.workspace(name)
	if ws.held == held {
		return
	}
	ws.held = held
	for i := range q.classes {
		c := &q.classes[i]
		f := c.flows[name]
		switch {
		case f == nil || f.entries.Len() == 0:
		case held:
			c.deactivate(f)
		default:
			c.activate(f, ws)
		}
	}
	q.update(ws)
	if ws.entries.Len() == 0 && !held {
		delete(q.workspaces, name)
	}
}

// First returns the entry that is overdue first, among workspaces that are not held. It
// must exist.
func (q *Queue) First() *Entry { return q.ready.items[0].entries.items[0] }

// Last returns the entry of a workspace that goes last, nil if there is none.
func (q *Queue) Last(name string) *Entry {
	var last *Entry
	for e := range q.Entries(name) {
		if last == nil || last.goesBefore(e) {
			last = e
		}
	}
	return last
}

// Len returns the number of entries.
func (q *Queue) Len() int { return q.entries }

// Waiting returns the number of entries of the workspace.
func (q *Queue) Waiting(name string) int {
	if ws := q.workspaces[name]; ws != nil {
		return ws.entries.Len()
	}
	return 0
}

// Entries returns the entries of the workspace in no particular order.
func (q *Queue) Entries(name string) iter.Seq[*Entry] {
	if ws := q.workspaces[name]; ws != nil {
		return slices.Values(ws.entries.items)
	}
	return func(func(*Entry) bool) {}
}

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

// GoesBefore reports whether an entry that is pushed now would go before another one of
// its workspace.
func (e *Entry) GoesBefore(other *Entry) bool {
	return e.compare(other) < 0
}

// goesBefore is the order of the entries of a workspace that are queued.
func (e *Entry) goesBefore(other *Entry) bool {
	return cmp.Or(e.compare(other), cmp.Compare(e.seq, other.seq)) < 0
}

func (e *Entry) compare(other *Entry) int {
	a, b := &e.Request, &other.Request
	return cmp.Or(cmp.Compare(classOf(a.Priority), classOf(b.Priority)), cmp.Compare(a.Rank, b.Rank), a.Due.Compare(b.Due))
}

// activate adds a flow with entries, unless its workspace is held.
func (c *class) activate(f *flow, ws *workspace) {
	if f.active || ws.held {
		return
	}
	f.active = true
	f.start = max(f.start, c.now)
	heap.Push(&c.active, f)
}

func (c *class) deactivate(f *flow) {
	if f.active {
		f.active = false
		heap.Remove(&c.active, f.index)
	}
}

// workspace returns the workspace of the name, which it adds if necessary.
func (q *Queue) workspace(name string) *workspace {
	if q.workspaces == nil {
		q.workspaces = make(map[string]*workspace)
		q.ready.less = func(a, b *workspace) bool { return a.entries.items[0].overdueAt.Before(b.entries.items[0].overdueAt) }
		q.ready.moved = func(ws *workspace, i int) { ws.index = i }
	}
	ws := q.workspaces[name]
	if ws == nil {
		ws = &workspace{}
		ws.entries.less = func(a, b *Entry) bool { return a.overdueAt.Before(b.overdueAt) }
		ws.entries.moved = func(e *Entry, i int) { e.inWorkspace = i }
		q.workspaces[name] = ws
	}
	return ws
}

// update keeps the order of the workspaces after a change of their entries.
func (q *Queue) update(ws *workspace) {
	ready := ws.entries.Len() > 0 && !ws.held
	switch {
	case ready && ws.ready:
		heap.Fix(&q.ready, ws.index)
	case ready:
		heap.Push(&q.ready, ws)
	case ws.ready:
		heap.Remove(&q.ready, ws.index)
	}
	ws.ready = ready
}

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
