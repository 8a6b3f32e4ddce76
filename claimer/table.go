package claimer

import (
	"bytes"
	"strings"
	"time"

	"github.com/google/uuid"

	"foxtailwall/buffer"
)

const (
	// DefaultWindow is the time for which a used key is known when the
	// configuration names none.
	DefaultWindow = 24 * time.Hour
	// MaxAhead is how far the time in a key may lie in the future, which
	// allows for the clock error of a caller.
	MaxAhead = 5 * time.Minute
	// MaxTimeout bounds the time a run may take. It also bounds how long an
	// unfinished claim delays the pruning of those behind it.
	MaxTimeout = time.Hour
	// DefaultTimeout is the time a run may take when the request names none.
	DefaultTimeout = time.Minute
)

type (
	// Table is the deterministic table of claims: the same calls in the same
	// order give the same answers and the same Export. Its zero value is
	// empty. It is not safe for use by several goroutines.
	Table struct {
		// claims are replaced when they change and never written to, so that
		// an export can go on while the table changes.
		claims buffer.Dense[id, *claim]
		// byAge orders the claims by the time in their key. A claim is in it
		// exactly once, from its creation to its pruning.
		byAge *buffer.Heap[id]
		// floor is the time in the newest key that was pruned. A key that is
		// not newer and not in the table may have been used, whatever the
		// clock says, and is refused.
		floor int64
	}

	// Saved is one claim in an export.
	Saved struct {
		Workspace string   `cbor:"w"`
		Service   string   `cbor:"s"`
		Key       [16]byte `cbor:"k"`
		Digest    []byte   `cbor:"d,omitempty"`
		RequestID string   `cbor:"r"`
		Owner     string   `cbor:"o,omitempty"`
		// Deadline is in Unix nanoseconds.
		Deadline int64     `cbor:"t,omitempty"`
		Released bool      `cbor:"f,omitempty"`
		Response *Response `cbor:"a,omitempty"`
	}

	// Export is a Table as written to a snapshot.
	Export struct {
		Claims []Saved `cbor:"claims"`
		// Floor is the time in the newest pruned key, in Unix milliseconds.
		Floor int64 `cbor:"floor"`
	}

	// id is a Key with its UUID in binary, because several texts stand for
	// the same UUID.
	id struct {
		workspace, service string
		key                uuid.UUID
	}

	// claim is released if its request gave it back, finished if it has a
	// response, and started otherwise.
	claim struct {
		digest    [32]byte
		requestID string
		owner     string
		deadline  int64
		released  bool
		response  *Response
	}
)

// Claim decides on r at the time now. Keys older than window are refused.
func (t *Table) Claim(r Request, now time.Time, window time.Duration) Result {
	k, ok := parse(r.Key)
	if !ok {
		return Result{State: Invalid}
	}
	if c := t.claims.Get(k); c != nil {
		return t.resume(k, c, r, now)
	}
	if s := t.admit(k, now, window); s != Granted {
		return Result{State: s}
	}
	t.add(k, started(r, now))
	return Result{State: Granted, RequestID: r.RequestID}
}

// resume answers a request whose key is in the table.
func (t *Table) resume(k id, c *claim, r Request, now time.Time) Result {
	switch {
	case c.released && c.requestID == r.RequestID:
		return Result{State: Released, RequestID: r.RequestID}
	case c.released:
		t.claims.Put(k, started(r, now))
		return Result{State: Granted, RequestID: r.RequestID}
	case c.digest != r.Digest:
		return Result{State: Reused, RequestID: c.requestID}
	case c.response != nil:
		return Result{State: Finished, RequestID: c.requestID, Response: c.response}
	case now.UnixNano() >= c.deadline:
		return Result{State: Lost, RequestID: c.requestID}
	case c.requestID == r.RequestID:
		return Result{State: Granted, RequestID: r.RequestID}
	}
	return Result{State: Running, RequestID: c.requestID}
}

// Finish stores the response of a granted claim and reports whether the claim
// is finished by that request. A repeated call keeps the first response. A
// late one, after the deadline, still counts, since it says what happened.
func (t *Table) Finish(key Key, requestID string, resp Response) bool {
	k, ok := parse(key)
	if !ok {
		return false
	}
	c := t.claims.Get(k)
	if c == nil || c.requestID != requestID || c.released {
		return false
	}
	if c.response == nil {
		next := *c
		next.response = trim(resp)
		t.claims.Put(k, &next)
	}
	return true
}

// Release gives the claim back, because its request provably did not run, and
// reports whether the claim is not held by that request any more. A release
// that overtakes its claim is remembered, so that the claim is not granted
// later.
func (t *Table) Release(key Key, requestID string, now time.Time, window time.Duration) bool {
	k, ok := parse(key)
	if !ok {
		return true
	}
	c := t.claims.Get(k)
	switch {
	case c == nil:
		if t.admit(k, now, window) == Granted {
			t.add(k, &claim{requestID: requestID, released: true})
		}
		return true
	case c.requestID != requestID:
		return true
	case c.response != nil:
		return false
	}
	t.claims.Put(k, &claim{requestID: requestID, released: true})
	return true
}

// Prune removes up to limit claims whose key is older than window, oldest
// first, and returns their number. It stops at a claim whose run may still be
// under way.
func (t *Table) Prune(now time.Time, window time.Duration, limit int) int {
	oldest := now.Add(-window).UnixMilli()
	for n := range limit {
		k, ok := t.peek()
		if !ok || k.millis() >= oldest {
			return n
		}
		if c := t.claims.Get(k); !c.released && c.response == nil && now.UnixNano() < c.deadline {
			return n
		}
		t.byAge.Pop()
		t.claims.Delete(k)
		t.floor = max(t.floor, k.millis())
	}
	return limit
}

// Len returns the number of claims in the table.
func (t *Table) Len() int { return t.claims.Len() }

// Export returns the content of the table, in an order that depends only on
// the calls that made it.
func (t *Table) Export() Export { return t.Freeze()() }

// Freeze returns a function that makes the export of the table as it is now.
// Freeze is fast; the function may run while the table changes.
func (t *Table) Freeze() func() Export {
	each, n, floor := t.claims.Freeze(), t.claims.Len(), t.floor
	return func() Export {
		e := Export{Floor: floor, Claims: make([]Saved, 0, n)}
		each(func(k id, c *claim) { e.Claims = append(e.Claims, saved(k, c)) })
		return e
	}
}

// Import replaces the content of the table.
func (t *Table) Import(e Export) {
	*t = Table{floor: e.Floor}
	for _, s := range e.Claims {
		c := &claim{
			requestID: s.RequestID, owner: s.Owner, deadline: s.Deadline,
			released: s.Released, response: s.Response,
		}
		copy(c.digest[:], s.Digest)
		t.add(s.id(), c)
	}
}

// admit says whether a key that is not in the table may be claimed.
func (t *Table) admit(k id, now time.Time, window time.Duration) State {
	switch at := k.millis(); {
	case at > now.Add(MaxAhead).UnixMilli():
		return Invalid
	case at < now.Add(-window).UnixMilli(), at <= t.floor:
		return Expired
	}
	return Granted
}

func (t *Table) add(k id, c *claim) {
	if t.byAge == nil {
		t.byAge = buffer.NewHeap(func(a, b id) bool { return compare(a, b) < 0 })
	}
	t.claims.Put(k, c)
	t.byAge.Push(k)
}

func (t *Table) peek() (id, bool) {
	if t.byAge == nil {
		return id{}, false
	}
	return t.byAge.Peek()
}

func started(r Request, now time.Time) *claim {
	d := r.Timeout
	if d <= 0 {
		d = DefaultTimeout
	}
	return &claim{
		digest: r.Digest, requestID: r.RequestID, owner: r.Owner,
		deadline: now.Add(min(d, MaxTimeout)).UnixNano(),
	}
}

func saved(k id, c *claim) Saved {
	s := Saved{
		Workspace: k.workspace, Service: k.service, Key: k.key, RequestID: c.requestID,
		Owner: c.owner, Deadline: c.deadline, Released: c.released, Response: c.response,
	}
	if !c.released {
		s.Digest = c.digest[:]
	}
	return s
}

func (s Saved) id() id { return id{workspace: s.Workspace, service: s.Service, key: s.Key} }

// millis returns the time in the key, in Unix milliseconds.
func (k id) millis() int64 {
	var ms int64
	for _, b := range k.key[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// compare orders by the time in the key first, since a UUIDv7 starts with it.
func compare(a, b id) int {
	if c := bytes.Compare(a.key[:], b.key[:]); c != 0 {
		return c
	}
	if c := strings.Compare(a.workspace, b.workspace); c != 0 {
		return c
	}
	return strings.Compare(a.service, b.service)
}

func parse(k Key) (id, bool) {
	u, err := uuid.Parse(k.Key)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return id{}, false
	}
	return id{workspace: k.Workspace, service: k.Service, key: u}, true
}

func trim(r Response) *Response {
	if len(r.Body) > MaxResponse {
		r.Body, r.Truncated = nil, true
	}
	return &r
}
