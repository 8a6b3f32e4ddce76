package claimer

import (
	"bytes"
	"strings"
	"time"

	"github.com/google/uuid"

	"foxtailwall/buffer"
)

const (
	// DefaultWindow is how long claims are stored when the configuration sets
	// no retention.
	DefaultWindow = 24 * time.Hour
	// MaxAhead is how far the time in a key may lie in the future, to allow
	// for the clock error of a caller.
	MaxAhead = 5 * time.Minute
	// MaxTimeout bounds the time a run may take, and so how long an unfinished
	// claim delays the pruning of newer ones.
	MaxTimeout = time.Hour
	// DefaultTimeout is the time a run may take when the request sets none.
	DefaultTimeout = time.Minute
)

type (
	// Table is the deterministic table of claims: the same calls in the same
	// order give the same answers and the same Export. Its zero value is
	// empty. It is not safe for concurrent use.
	Table struct {
		// claims holds immutable values that are replaced on a change, so that
		// an export can run while the table changes.
		claims buffer.DenseMap[keyID, *claim]
		// byAge orders the claims by the time in their key. It holds each
		// claim once, from its creation to its pruning.
		byAge *buffer.Heap[keyID]
		// newestPruned is the time in the newest pruned key, in Unix
		// milliseconds. A key that is not in the table and not newer is
		// refused, whatever the clock says, since it may have been used.
		newestPruned int64
	}

	// SavedClaim is one claim in an export.
	SavedClaim struct {
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

	// Export is the content of a Table as written to a snapshot.
	Export struct {
		Claims []SavedClaim `cbor:"claims"`
		// Floor is the time in the newest pruned key, in Unix milliseconds.
		Floor int64 `cbor:"floor"`
	}

	// keyID identifies a claim in the table: a Key with its UUID in binary form,
	// because a UUID has several text forms.
	keyID struct {
		workspace, service string
		key                uuid.UUID
	}

	// claim is released if released is set, finished if it has a response, and
	// running until its deadline otherwise.
	claim struct {
		digest    [32]byte
		requestID string
		owner     string
		deadline  int64
		released  bool
		response  *Response
	}
)

// Claim grants or refuses r at the time now. A key that is older than window and
// not in the table is refused.
func (t *Table) Claim(r Request, now time.Time, window time.Duration) Result {
	k, ok := parseKey(r.Key)
	if !ok {
		return Result{State: Invalid}
	}
	if c := t.claims.Get(k); c != nil {
		return t.answerExisting(k, c, r, now)
	}
	if s := t.checkAge(k, now, window); s != Granted {
		return Result{State: s}
	}
	t.add(k, newClaim(r, now))
	return Result{State: Granted, RequestID: r.RequestID}
}

// answerExisting returns the result for a request whose key is in the table.
func (t *Table) answerExisting(k keyID, c *claim, r Request, now time.Time) Result {
	switch {
	case c.released && c.requestID == r.RequestID:
		return Result{State: Released, RequestID: r.RequestID}
	case c.released:
		t.claims.Put(k, newClaim(r, now))
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

// Finish stores the response of a granted claim and reports whether that request
// finished the claim. A repeated call keeps the first response. A call after the
// deadline is accepted too, since it settles the outcome.
func (t *Table) Finish(key Key, requestID string, resp Response) bool {
	k, ok := parseKey(key)
	if !ok {
		return false
	}
	c := t.claims.Get(k)
	if c == nil || c.requestID != requestID || c.released {
		return false
	}
	if c.response == nil {
		next := *c
		next.response = dropLargeBody(resp)
		t.claims.Put(k, &next)
	}
	return true
}

// Release releases the claim of a request that provably did not run, and reports
// whether that request no longer owns the claim. A release that arrives before
// its claim is stored, so that the claim is not granted later.
func (t *Table) Release(key Key, requestID string, now time.Time, window time.Duration) bool {
	k, ok := parseKey(key)
	if !ok {
		return true
	}
	c := t.claims.Get(k)
	switch {
	case c == nil:
		if t.checkAge(k, now, window) == Granted {
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
// first, and returns their number. It stops at a claim whose request may still
// be running.
func (t *Table) Prune(now time.Time, window time.Duration, limit int) int {
	cutoff := now.Add(-window).UnixMilli()
	for n := range limit {
		k, ok := t.oldest()
		if !ok || k.unixMillis() >= cutoff {
			return n
		}
		if c := t.claims.Get(k); !c.released && c.response == nil && now.UnixNano() < c.deadline {
			return n
		}
		t.byAge.Pop()
		t.claims.Delete(k)
		t.newestPruned = max(t.newestPruned, k.unixMillis())
	}
	return limit
}

// Len returns the number of claims in the table.
func (t *Table) Len() int { return t.claims.Len() }

// Export returns the content of the table in a deterministic order, which
// depends only on the calls made so far.
func (t *Table) Export() Export { return t.Freeze()() }

// Freeze returns a function that exports the current content of the table.
// Freeze is fast; the function may run while the table changes.
func (t *Table) Freeze() func() Export {
	each, n, floor := t.claims.Snapshot(), t.claims.Len(), t.newestPruned
	return func() Export {
		e := Export{Floor: floor, Claims: make([]SavedClaim, 0, n)}
		each(func(k keyID, c *claim) { e.Claims = append(e.Claims, saveClaim(k, c)) })
		return e
	}
}

// Import replaces the content of the table.
func (t *Table) Import(e Export) {
	*t = Table{newestPruned: e.Floor}
	for _, s := range e.Claims {
		c := &claim{
			requestID: s.RequestID, owner: s.Owner, deadline: s.Deadline,
			released: s.Released, response: s.Response,
		}
		copy(c.digest[:], s.Digest)
		t.add(s.id(), c)
	}
}

// checkAge returns Granted if the time in a key that is not in the table allows
// a claim, and Invalid or Expired otherwise.
func (t *Table) checkAge(k keyID, now time.Time, window time.Duration) State {
	switch at := k.unixMillis(); {
	case at > now.Add(MaxAhead).UnixMilli():
		return Invalid
	case at < now.Add(-window).UnixMilli(), at <= t.newestPruned:
		return Expired
	}
	return Granted
}

func (t *Table) add(k keyID, c *claim) {
	if t.byAge == nil {
		t.byAge = buffer.NewHeap(func(a, b keyID) bool { return compareKeyIDs(a, b) < 0 })
	}
	t.claims.Put(k, c)
	t.byAge.Push(k)
}

// oldest returns the oldest ID in the table, and false if the table is empty.
func (t *Table) oldest() (keyID, bool) {
	if t.byAge == nil {
		return keyID{}, false
	}
	return t.byAge.Peek()
}

func newClaim(r Request, now time.Time) *claim {
	d := r.Timeout
	if d <= 0 {
		d = DefaultTimeout
	}
	return &claim{
		digest: r.Digest, requestID: r.RequestID, owner: r.Owner,
		deadline: now.Add(min(d, MaxTimeout)).UnixNano(),
	}
}

func saveClaim(k keyID, c *claim) SavedClaim {
	s := SavedClaim{
		Workspace: k.workspace, Service: k.service, Key: k.key, RequestID: c.requestID,
		Owner: c.owner, Deadline: c.deadline, Released: c.released, Response: c.response,
	}
	if !c.released {
		s.Digest = c.digest[:]
	}
	return s
}

func (s SavedClaim) id() keyID { return keyID{workspace: s.Workspace, service: s.Service, key: s.Key} }

// unixMillis returns the time in the key, in Unix milliseconds.
func (k keyID) unixMillis() int64 {
	var ms int64
	for _, b := range k.key[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// compareKeyIDs orders IDs by the time in the key, with which a UUIDv7 starts,
// and then by the rest of the ID.
func compareKeyIDs(a, b keyID) int {
	if c := bytes.Compare(a.key[:], b.key[:]); c != 0 {
		return c
	}
	if c := strings.Compare(a.workspace, b.workspace); c != 0 {
		return c
	}
	return strings.Compare(a.service, b.service)
}

// parseKey returns the ID of a key, and false if the key is not a UUIDv7.
func parseKey(k Key) (keyID, bool) {
	u, err := uuid.Parse(k.Key)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return keyID{}, false
	}
	return keyID{workspace: k.Workspace, service: k.Service, key: u}, true
}

// dropLargeBody returns r without its body if that exceeds MaxResponse.
func dropLargeBody(r Response) *Response {
	if len(r.Body) > MaxResponse {
		r.Body, r.Truncated = nil, true
	}
	return &r
}
