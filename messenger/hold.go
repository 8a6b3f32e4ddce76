package messenger

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/biller"
	"foxtailwall/counter"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

const (
	procHold    = "relay/hold"
	procRelease = "relay/release"

	// holdTimeout bounds one attempt to reach a witness. It is part of the
	// time a caller waits for the end of its response.
	holdTimeout = 250 * time.Millisecond
	// holdAttempts bounds the witnesses that are tried for one record.
	holdAttempts = 4
	// witnessRest is the time for which a witness that failed is left out.
	witnessRest = 2 * time.Second
	// flushBatch is the number of records in one delivery.
	flushBatch = 512
	// flushPause is the time between two attempts while the control group
	// cannot be reached.
	flushPause = 250 * time.Millisecond
	// renewAfter is the time after which an own record that the control group
	// has not taken is given to a witness again: the witness may have stopped
	// or lost its memory. A short election must not cause such calls.
	renewAfter = 5 * time.Second
	// renewPause is the least time between two renewals. Each takes up to
	// flushBatch records, about 200 KB.
	renewPause = time.Second
	// maxWrites bounds the records that wait for a disk that hangs, at a
	// goroutine each. Calls above it go on at once as without a disk.
	maxWrites = 4096
	// releaseCalls bounds the calls that release records at witnesses.
	releaseCalls = 4
)

var _ router.Bills = (*Bills)(nil)

type (
	// Witness is a host that can hold billing records for another.
	Witness struct {
		Name string
		Zone string
		Addr netip.AddrPort
		// Disk says that the host keeps the records over a restart.
		Disk bool
	}

	// Biller delivers records to the control group; Control implements it.
	Biller interface {
		Bill(ctx context.Context, recs []biller.Record) ([]biller.Refused, error)
	}

	// BillsOptions are the parts of a Bills.
	BillsOptions struct {
		// Name and Zone are those of this host.
		Name, Zone string
		Outbox     *biller.Outbox
		Control    Biller
		// Hosts lists the live hosts. This host may be among them.
		Hosts func() []Witness
		Peer  func(netip.AddrPort) *Peer
		Clock timekeeper.Clock
		Scope counter.Scope
	}

	// Bills takes the billing records of a host, has a witness hold them and
	// delivers them. It implements router.Bills. Make it with NewBills; its
	// deliveries need Run.
	Bills struct {
		opts BillsOptions
		// writes has an element for each write that waits for the disk.
		writes chan struct{}

		mu sync.Mutex
		// resting holds the time until which a witness is left out.
		resting map[netip.AddrPort]time.Time
		// held holds the witness of each record of this host.
		held map[string]holder
		// renewed is the time of the last renewal.
		renewed time.Time
	}

	// holder is the witness of a record, if addr is valid, and the time of
	// the last attempt to have one.
	holder struct {
		addr netip.AddrPort
		at   time.Time
	}

	holdRequest struct {
		Records []biller.Record `cbor:"records"`
	}

	releaseRequest struct {
		Marks []biller.Mark `cbor:"marks"`
	}

	emptyResponse struct{}
)

// HandleHold registers the procedures by which this host holds records for
// others. Bills on the same outbox delivers them.
func HandleHold(m *Mux, box *biller.Outbox, clock timekeeper.Clock) {
	Handle(m, procHold, func(_ context.Context, r *holdRequest) (*emptyResponse, error) {
		if err := box.Accept(clock.Now(), r.Records); err != nil {
			return nil, err
		}
		return &emptyResponse{}, nil
	})
	Handle(m, procRelease, func(_ context.Context, r *releaseRequest) (*emptyResponse, error) {
		if err := box.Acknowledge(r.Marks); err != nil {
			return nil, err
		}
		return &emptyResponse{}, nil
	})
}

// NewBills returns the billing of a host.
func NewBills(opts BillsOptions) *Bills {
	return &Bills{
		opts:    opts,
		writes:  make(chan struct{}, maxWrites),
		resting: make(map[netip.AddrPort]time.Time),
		held:    make(map[string]holder),
	}
}

// Hold implements router.Bills. The caller passes a ctx with a bound that does
// not end when the caller of the request leaves, since that is billed as well.
// The record goes to this host's disk, if it has one, while a witness takes it,
// so that it survives even if both stop. If the disk has not answered when ctx
// ends, Hold goes on as on a host without one. The record is delivered only
// after the witness has answered, so that the delivery knows whom to release.
func (b *Bills) Hold(ctx context.Context, r biller.Record) (bool, error) {
	stored := b.store(r)
	held := b.witness(ctx, r)
	err := b.await(ctx, stored)
	own := b.opts.Outbox.Own(r)
	if own != nil {
		b.released(biller.Marks([]biller.Record{r}))
	}
	if err == nil {
		err = own
	}
	if !held {
		b.opts.Scope.Counter("billing.single").Inc(1)
		return false, err
	}
	if err != nil {
		// The witness delivers it after biller.WitnessDelay if this host
		// does not.
		b.opts.Scope.Counter("billing.outboxFailed").Inc(1)
	}
	return true, nil
}

// store writes the record to the disk of this host and returns the channel of
// the result, which is nil at once while too many writes wait for the disk.
func (b *Bills) store(r biller.Record) <-chan error {
	out := make(chan error, 1)
	select {
	case b.writes <- struct{}{}:
	default:
		b.opts.Scope.Counter("billing.diskSlow").Inc(1)
		out <- nil
		return out
	}
	var wg conc.WaitGroup // Nobody waits for a disk that hangs.
	wg.Go(func() {
		defer func() { <-b.writes }()
		out <- b.opts.Outbox.Hold(b.opts.Clock.Now(), []biller.Record{r})
	})
	return out
}

// await returns the result of store, or nil if ctx ends without one.
func (b *Bills) await(ctx context.Context, stored <-chan error) error {
	select {
	case err := <-stored:
		return err
	case <-ctx.Done():
		b.opts.Scope.Counter("billing.diskSlow").Inc(1)
		return nil
	}
}

// Run delivers records until ctx ends and returns the error of ctx. While the
// control group cannot be reached, it renews the witnesses of own records.
func (b *Bills) Run(ctx context.Context) error {
	releases := pool.New().WithMaxGoroutines(releaseCalls)
	defer releases.Wait()
	for {
		changed := b.opts.Outbox.Changed()
		batch := b.opts.Outbox.Due(b.opts.Clock.Now(), flushBatch)
		if len(batch) == 0 {
			if err := b.wait(ctx, changed); err != nil {
				return err
			}
			continue
		}
		if err := b.flush(ctx, batch, releases); err != nil {
			b.renew(ctx)
			if err := timekeeper.Sleep(ctx, b.opts.Clock, flushPause); err != nil {
				return err
			}
		}
	}
}

// Drain delivers everything that is held, due or not, for a host that shuts
// down, and holds nothing more for others. While the control group cannot be
// reached, the records go to other hosts, also when ctx has ended. It returns
// the error of ctx if that ends with records that no host took.
func (b *Bills) Drain(ctx context.Context) error {
	b.opts.Outbox.Close()
	releases := pool.New().WithMaxGoroutines(releaseCalls)
	defer releases.Wait()
	for {
		batch := b.all()
		if len(batch) == 0 {
			return nil
		}
		if b.flush(ctx, batch, releases) == nil || b.handOver(ctx) {
			continue
		}
		if err := timekeeper.Sleep(ctx, b.opts.Clock, flushPause); err != nil {
			b.opts.Scope.Counter("billing.abandoned").Inc(int64(b.opts.Outbox.Len()))
			return err
		}
	}
}

// all returns a batch of what is held, due or not.
func (b *Bills) all() []biller.Record {
	return b.opts.Outbox.Due(b.opts.Clock.Now().Add(biller.WitnessDelay), flushBatch)
}

// handOver has other hosts hold everything that is held and reports whether
// they took it all. A record goes to another host than its present witness if
// there is one, so that two hosts hold it without this one.
func (b *Bills) handOver(ctx context.Context) bool {
	ctx = context.WithoutCancel(ctx)
	for batch := b.all(); len(batch) > 0; batch = b.all() {
		for present, recs := range b.byWitness(batch) {
			if !b.give(ctx, recs, b.candidates(func(w Witness) bool { return w.Addr != present }), attemptTimeout) {
				return false
			}
			marks := biller.Marks(recs)
			b.released(marks)
			if err := b.opts.Outbox.Acknowledge(marks); err != nil {
				b.opts.Scope.Counter("billing.diskFailed").Inc(1)
			}
			b.opts.Scope.Counter("billing.handedOver").Inc(int64(len(recs)))
		}
	}
	return true
}

// renew gives own records to a witness again that have stayed with this host
// for long: the present one, or another if that does not answer.
func (b *Bills) renew(ctx context.Context) {
	for present, recs := range b.byWitness(b.opts.Outbox.Owned(b.stale())) {
		if b.give(ctx, recs, b.candidates(func(w Witness) bool { return w.Addr == present }), attemptTimeout) {
			b.opts.Scope.Counter("billing.renewed").Inc(int64(len(recs)))
		}
	}
}

// stale returns the records to renew now, those whose witness is no live host
// and those renewed longest ago first, and notes the attempt.
func (b *Bills) stale() []string {
	live := make(map[netip.AddrPort]bool)
	for _, w := range b.opts.Hosts() {
		live[w.Addr] = true
	}
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.renewed) < renewPause {
		return nil
	}
	b.renewed = now
	var out []string
	for id, h := range b.held {
		if now.Sub(h.at) >= renewAfter {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(x, y string) int {
		hx, hy := b.held[x], b.held[y]
		if live[hx.addr] != live[hy.addr] {
			if live[hx.addr] {
				return 1
			}
			return -1
		}
		return hx.at.Compare(hy.at)
	})
	out = out[:min(len(out), flushBatch)]
	for _, id := range out {
		b.held[id] = holder{addr: b.held[id].addr, at: now}
	}
	return out
}

// byWitness groups records by their present witness. Records of other hosts
// and those without a witness have the zero address.
func (b *Bills) byWitness(recs []biller.Record) map[netip.AddrPort][]biller.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[netip.AddrPort][]biller.Record)
	for _, r := range recs {
		addr := b.held[r.ID].addr
		out[addr] = append(out[addr], r)
	}
	return out
}

// wait returns when a record was added or one held for another falls due.
func (b *Bills) wait(ctx context.Context, changed <-chan struct{}) error {
	var due <-chan time.Time
	if d, ok := b.opts.Outbox.Next(b.opts.Clock.Now()); ok {
		t := b.opts.Clock.NewTimer(d)
		defer t.Stop()
		due = t.C()
	}
	select {
	case <-changed:
	case <-due:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// flush delivers one batch. A refused record is let go of as well: the ledger
// will not take it later either.
func (b *Bills) flush(ctx context.Context, batch []biller.Record, releases *pool.Pool) error {
	refused, err := b.opts.Control.Bill(ctx, batch)
	if err != nil {
		b.opts.Scope.Counter("billing.flushFailed").Inc(1)
		return err
	}
	for _, r := range refused {
		b.opts.Scope.Counter("billing.refused", "reason", string(r.Reason)).Inc(1)
	}
	marks := biller.Marks(batch)
	if err := b.opts.Outbox.Acknowledge(marks); err != nil {
		b.opts.Scope.Counter("billing.diskFailed").Inc(1)
	}
	for addr, marks := range b.released(marks) {
		releases.Go(func() { b.release(ctx, addr, marks) })
	}
	return nil
}

// release tells a witness to let go. If it fails the witness delivers the
// records too, which changes nothing.
func (b *Bills) release(ctx context.Context, addr netip.AddrPort, marks []biller.Mark) {
	ctx, cancel := withTimeout(ctx, b.opts.Clock, attemptTimeout)
	defer cancel()
	_, err := Call[releaseRequest, emptyResponse](ctx, b.opts.Peer(addr), procRelease, &releaseRequest{Marks: marks})
	if err != nil {
		b.opts.Scope.Counter("billing.releaseFailed").Inc(1)
	}
}

// witness has another host hold the record and reports whether one does. It
// notes a failure too, so that the record is given to a witness later.
func (b *Bills) witness(ctx context.Context, r biller.Record) bool {
	recs := []biller.Record{r}
	if b.give(ctx, recs, b.candidates(nil), holdTimeout) {
		return true
	}
	b.note(recs, netip.AddrPort{})
	return false
}

// give has the first of the hosts that answers hold the records. Each attempt
// ends after the timeout.
func (b *Bills) give(ctx context.Context, recs []biller.Record, to []Witness, timeout time.Duration) bool {
	for _, w := range to {
		if b.hold(ctx, w, recs, timeout) {
			b.note(recs, w.Addr)
			return true
		}
		if ctx.Err() != nil {
			return false // The witness is not at fault.
		}
		b.mu.Lock()
		b.resting[w.Addr] = b.opts.Clock.Now().Add(witnessRest)
		b.mu.Unlock()
	}
	return false
}

// note records the witness of the records.
func (b *Bills) note(recs []biller.Record, addr netip.AddrPort) {
	h := holder{addr: addr, at: b.opts.Clock.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range recs {
		b.held[r.ID] = h
	}
}

func (b *Bills) hold(ctx context.Context, w Witness, recs []biller.Record, timeout time.Duration) bool {
	ctx, cancel := withTimeout(ctx, b.opts.Clock, timeout)
	defer cancel()
	_, err := Call[holdRequest, emptyResponse](ctx, b.opts.Peer(w.Addr), procHold, &holdRequest{Records: recs})
	return err == nil
}

// candidates returns the witnesses to try: hosts of this zone with a disk,
// then other hosts of this zone, then hosts of other zones. Within a class
// each host prefers another one, so that the load is spread. Hosts that prefer
// reports, if not nil, come before all others.
func (b *Bills) candidates(prefer func(Witness) bool) []Witness {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Witness
	for _, w := range b.opts.Hosts() {
		if until, ok := b.resting[w.Addr]; ok && now.Before(until) || w.Name == b.opts.Name {
			continue
		}
		delete(b.resting, w.Addr)
		out = append(out, w)
	}
	slices.SortFunc(out, func(x, y Witness) int {
		return cmp.Or(
			cmp.Compare(order(x, prefer), order(y, prefer)),
			cmp.Compare(b.class(x), b.class(y)),
			cmp.Compare(b.weight(x), b.weight(y)),
			cmp.Compare(x.Name, y.Name),
		)
	})
	return out[:min(len(out), holdAttempts)]
}

func order(w Witness, prefer func(Witness) bool) int {
	if prefer != nil && prefer(w) {
		return 0
	}
	return 1
}

func (b *Bills) class(w Witness) int {
	switch {
	case w.Zone == b.opts.Zone && w.Disk:
		return 0
	case w.Zone == b.opts.Zone:
		return 1
	}
	return 2
}

func (b *Bills) weight(w Witness) uint64 {
	return xxhash.Sum64String(b.opts.Name + "\x00" + w.Name)
}

// released takes the marked records off the list of witnesses and returns
// the marks by witness.
func (b *Bills) released(marks []biller.Mark) map[netip.AddrPort][]biller.Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[netip.AddrPort][]biller.Mark)
	for _, m := range marks {
		h := b.held[m.ID]
		delete(b.held, m.ID)
		if h.addr.IsValid() {
			out[h.addr] = append(out[h.addr], m)
		}
	}
	return out
}
