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

	// holdTimeout is the time limit of one attempt to reach a witness. It adds
	// to the time that a caller waits for the end of its response.
	holdTimeout = 250 * time.Millisecond
	// maxHoldAttempts is the largest number of witnesses that are tried for
	// one record.
	maxHoldAttempts = 4
	// witnessBackoff is the time for which a witness that failed is not tried
	// again.
	witnessBackoff = 2 * time.Second
	// deliveryBatchRecords is the largest number of records in one delivery.
	deliveryBatchRecords = 512
	// deliveryRetryInterval is the time between two attempts while the control
	// group cannot be reached.
	deliveryRetryInterval = 250 * time.Millisecond
	// renewalAge is the time after which a record of this host that the
	// control group has not accepted is sent to a witness again, since the
	// witness may have stopped or lost its memory. It is long enough that a
	// short election causes no such calls.
	renewalAge = 5 * time.Second
	// minRenewalInterval is the shortest time between two renewals. Each
	// renewal sends up to deliveryBatchRecords records, about 200 KB.
	minRenewalInterval = time.Second
	// maxPendingWrites is the largest number of records that wait for the
	// disk, in one goroutine each. While that many wait for a disk that hangs,
	// further calls of Hold proceed at once, as on a host without a disk.
	maxPendingWrites = 4096
	// maxReleaseCalls is the largest number of concurrent calls that release
	// records at witnesses.
	maxReleaseCalls = 4
)

var _ router.Bills = (*BillingClient)(nil)

type (
	// Witness is a host that can hold billing records for other hosts.
	Witness struct {
		Name string
		Zone string
		Addr netip.AddrPort
		// Disk means that the host keeps the records across a restart.
		Disk bool
	}

	// Biller delivers records to the control group; ControlClient implements it.
	Biller interface {
		Bill(ctx context.Context, recs []biller.Record) ([]biller.RefusedRecord, error)
	}

	// BillingClientOptions are the dependencies and settings of a BillingClient.
	BillingClientOptions struct {
		// Name and Zone are those of this host.
		Name, Zone string
		Outbox     *biller.Outbox
		Control    Biller
		// Hosts lists the live hosts. It may include this host.
		Hosts func() []Witness
		Peer  func(netip.AddrPort) *Peer
		Clock timekeeper.Clock
		Scope counter.Scope
	}

	// BillingClient accepts the billing records of a host, has a witness hold them
	// and delivers them to the control group. It implements router.Bills. Make it
	// with NewBillingClient; deliveries require a running Run.
	BillingClient struct {
		opts BillingClientOptions
		// pendingWrites has one element for each write that waits for the
		// disk.
		pendingWrites chan struct{}

		mu sync.Mutex
		// backoffUntil is the time until which each failed witness is not
		// tried.
		backoffUntil map[netip.AddrPort]time.Time
		// assignments has the witness of each record of this host, by record
		// ID.
		assignments map[string]assignment
		// lastRenewal is the time of the last renewal.
		lastRenewal time.Time
	}

	// assignment is the witness that holds a record, if addr is valid, and the
	// time of the last attempt to have one hold it.
	assignment struct {
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

// HandleWitness registers the procedures through which this host holds records
// for other hosts in box. A BillingClient with the same outbox delivers them.
func HandleWitness(m *Mux, box *biller.Outbox, clock timekeeper.Clock) {
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

// NewBillingClient returns a BillingClient for one host.
func NewBillingClient(opts BillingClientOptions) *BillingClient {
	return &BillingClient{
		opts:          opts,
		pendingWrites: make(chan struct{}, maxPendingWrites),
		backoffUntil:  make(map[netip.AddrPort]time.Time),
		assignments:   make(map[string]assignment),
	}
}

// Hold implements router.Bills. The caller passes a ctx with a time limit that
// is not cancelled when the client of the request disconnects, since such a
// request is billed as well. The record is written to this host's disk, if it
// has one, while a witness stores it, so that it survives even if both hosts
// stop. If the disk has not responded when ctx ends, Hold continues as on a
// host without a disk. The record is delivered only after the attempts to
// reach a witness, so that the delivery knows which witness to release.
func (b *BillingClient) Hold(ctx context.Context, r biller.Record) (bool, error) {
	stored := b.startDiskWrite(r)
	held := b.holdAtWitness(ctx, r)
	err := b.awaitDiskWrite(ctx, stored)
	ownErr := b.opts.Outbox.AddOwned(r)
	if ownErr != nil {
		b.removeAssignments(biller.Marks([]biller.Record{r}))
	}
	if err == nil {
		err = ownErr
	}
	if !held {
		b.opts.Scope.Counter("billing.single").Inc(1)
		return false, err
	}
	if err != nil {
		// The witness delivers the record after biller.WitnessDelay if this
		// host does not.
		b.opts.Scope.Counter("billing.outboxFailed").Inc(1)
	}
	return true, nil
}

// startDiskWrite starts writing the record to the disk of this host and
// returns a channel with the result. If too many writes wait for the disk, it
// skips the write and the result is nil.
func (b *BillingClient) startDiskWrite(r biller.Record) <-chan error {
	out := make(chan error, 1)
	select {
	case b.pendingWrites <- struct{}{}:
	default:
		b.opts.Scope.Counter("billing.diskSlow").Inc(1)
		out <- nil
		return out
	}
	var wg conc.WaitGroup // Not waited for, since the disk may hang.
	wg.Go(func() {
		defer func() { <-b.pendingWrites }()
		out <- b.opts.Outbox.Hold(b.opts.Clock.Now(), []biller.Record{r})
	})
	return out
}

// awaitDiskWrite returns the result of startDiskWrite, or nil if ctx ends
// first.
func (b *BillingClient) awaitDiskWrite(ctx context.Context, stored <-chan error) error {
	select {
	case err := <-stored:
		return err
	case <-ctx.Done():
		b.opts.Scope.Counter("billing.diskSlow").Inc(1)
		return nil
	}
}

// Run delivers records until ctx ends and returns the error of ctx. While the
// control group cannot be reached, it renews the witnesses of this host's
// records.
func (b *BillingClient) Run(ctx context.Context) error {
	releases := pool.New().WithMaxGoroutines(maxReleaseCalls)
	defer releases.Wait()
	for {
		changed := b.opts.Outbox.Changed()
		batch := b.opts.Outbox.Due(b.opts.Clock.Now(), deliveryBatchRecords)
		if len(batch) == 0 {
			if err := b.waitForRecords(ctx, changed); err != nil {
				return err
			}
			continue
		}
		if err := b.deliverBatch(ctx, batch, releases); err != nil {
			b.renewWitnesses(ctx)
			if err := timekeeper.Sleep(ctx, b.opts.Clock, deliveryRetryInterval); err != nil {
				return err
			}
		}
	}
}

// Drain delivers all held records, due or not, on a host that shuts down, and
// stops accepting records of other hosts. While the control group cannot be
// reached, it hands the records over to other hosts, even after ctx has ended.
// It returns the error of ctx if ctx ends while records remain that no host
// took over.
func (b *BillingClient) Drain(ctx context.Context) error {
	b.opts.Outbox.Close()
	releases := pool.New().WithMaxGoroutines(maxReleaseCalls)
	defer releases.Wait()
	for {
		batch := b.heldBatch()
		if len(batch) == 0 {
			return nil
		}
		if b.deliverBatch(ctx, batch, releases) == nil || b.handOverAll(ctx) {
			continue
		}
		if err := timekeeper.Sleep(ctx, b.opts.Clock, deliveryRetryInterval); err != nil {
			b.opts.Scope.Counter("billing.abandoned").Inc(int64(b.opts.Outbox.Len()))
			return err
		}
	}
}

// heldBatch returns a batch of the held records, due or not.
func (b *BillingClient) heldBatch() []biller.Record {
	return b.opts.Outbox.Due(b.opts.Clock.Now().Add(biller.WitnessDelay), deliveryBatchRecords)
}

// handOverAll has other hosts hold all held records and reports whether they
// took them all. It prefers hosts other than the current witness of a record,
// so that two hosts hold the record without this one.
func (b *BillingClient) handOverAll(ctx context.Context) bool {
	ctx = context.WithoutCancel(ctx)
	for batch := b.heldBatch(); len(batch) > 0; batch = b.heldBatch() {
		for current, recs := range b.groupByWitness(batch) {
			if !b.holdAtFirst(ctx, recs, b.witnessCandidates(func(w Witness) bool { return w.Addr != current }), attemptTimeout) {
				return false
			}
			marks := biller.Marks(recs)
			b.removeAssignments(marks)
			if err := b.opts.Outbox.Acknowledge(marks); err != nil {
				b.opts.Scope.Counter("billing.diskFailed").Inc(1)
			}
			b.opts.Scope.Counter("billing.handedOver").Inc(int64(len(recs)))
		}
	}
	return true
}

// renewWitnesses sends records of this host to a witness again: to the current
// one, or to another if that does not respond.
func (b *BillingClient) renewWitnesses(ctx context.Context) {
	for current, recs := range b.groupByWitness(b.opts.Outbox.Owned(b.takeRenewalsDue())) {
		if b.holdAtFirst(ctx, recs, b.witnessCandidates(func(w Witness) bool { return w.Addr == current }), attemptTimeout) {
			b.opts.Scope.Counter("billing.renewed").Inc(int64(len(recs)))
		}
	}
}

// takeRenewalsDue returns the IDs of the records to renew now and records the
// attempt. Records whose witness is not a live host come first, then those
// whose last attempt is oldest.
func (b *BillingClient) takeRenewalsDue() []string {
	live := make(map[netip.AddrPort]bool)
	for _, w := range b.opts.Hosts() {
		live[w.Addr] = true
	}
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastRenewal) < minRenewalInterval {
		return nil
	}
	b.lastRenewal = now
	var out []string
	for id, a := range b.assignments {
		if now.Sub(a.at) >= renewalAge {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(x, y string) int {
		ax, ay := b.assignments[x], b.assignments[y]
		if live[ax.addr] != live[ay.addr] {
			if live[ax.addr] {
				return 1
			}
			return -1
		}
		return ax.at.Compare(ay.at)
	})
	out = out[:min(len(out), deliveryBatchRecords)]
	for _, id := range out {
		b.assignments[id] = assignment{addr: b.assignments[id].addr, at: now}
	}
	return out
}

// groupByWitness groups records by their current witness. Records of other
// hosts and records without a witness are under the zero address.
func (b *BillingClient) groupByWitness(recs []biller.Record) map[netip.AddrPort][]biller.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[netip.AddrPort][]biller.Record)
	for _, r := range recs {
		addr := b.assignments[r.ID].addr
		out[addr] = append(out[addr], r)
	}
	return out
}

// waitForRecords returns when a record has been added or one held for another
// host falls due.
func (b *BillingClient) waitForRecords(ctx context.Context, changed <-chan struct{}) error {
	var due <-chan time.Time
	if d, ok := b.opts.Outbox.UntilDue(b.opts.Clock.Now()); ok {
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

// deliverBatch delivers one batch. Rejected records are removed as well, since
// the ledger would reject them again.
func (b *BillingClient) deliverBatch(ctx context.Context, batch []biller.Record, releases *pool.Pool) error {
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
	for addr, marks := range b.removeAssignments(marks) {
		releases.Go(func() { b.releaseAtWitness(ctx, addr, marks) })
	}
	return nil
}

// releaseAtWitness has a witness drop its copies of the records. If the call
// fails, the witness delivers them too, which leaves the ledger unchanged.
func (b *BillingClient) releaseAtWitness(ctx context.Context, addr netip.AddrPort, marks []biller.Mark) {
	ctx, cancel := withTimeout(ctx, b.opts.Clock, attemptTimeout)
	defer cancel()
	_, err := Call[releaseRequest, emptyResponse](ctx, b.opts.Peer(addr), procRelease, &releaseRequest{Marks: marks})
	if err != nil {
		b.opts.Scope.Counter("billing.releaseFailed").Inc(1)
	}
}

// holdAtWitness has another host hold the record and reports whether one does.
// It records a failure as well, so that the record is renewed later.
func (b *BillingClient) holdAtWitness(ctx context.Context, r biller.Record) bool {
	recs := []biller.Record{r}
	if b.holdAtFirst(ctx, recs, b.witnessCandidates(nil), holdTimeout) {
		return true
	}
	b.assignWitness(recs, netip.AddrPort{})
	return false
}

// holdAtFirst has the first of the hosts that responds hold the records and
// reports whether one does. The timeout applies to each attempt.
func (b *BillingClient) holdAtFirst(ctx context.Context, recs []biller.Record, to []Witness, timeout time.Duration) bool {
	for _, w := range to {
		if b.callHold(ctx, w, recs, timeout) {
			b.assignWitness(recs, w.Addr)
			return true
		}
		if ctx.Err() != nil {
			return false // The caller's context ended; the witness has not failed.
		}
		b.mu.Lock()
		b.backoffUntil[w.Addr] = b.opts.Clock.Now().Add(witnessBackoff)
		b.mu.Unlock()
	}
	return false
}

// assignWitness stores the witness of the records and the time of the attempt.
func (b *BillingClient) assignWitness(recs []biller.Record, addr netip.AddrPort) {
	a := assignment{addr: addr, at: b.opts.Clock.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range recs {
		b.assignments[r.ID] = a
	}
}

func (b *BillingClient) callHold(ctx context.Context, w Witness, recs []biller.Record, timeout time.Duration) bool {
	ctx, cancel := withTimeout(ctx, b.opts.Clock, timeout)
	defer cancel()
	_, err := Call[holdRequest, emptyResponse](ctx, b.opts.Peer(w.Addr), procHold, &holdRequest{Records: recs})
	return err == nil
}

// witnessCandidates returns the hosts to try as witness: hosts of this zone
// with a disk, then other hosts of this zone, then hosts of other zones.
// Within each class the order differs from host to host, which spreads the
// load. Hosts that prefer accepts, if it is not nil, come before all others.
func (b *BillingClient) witnessCandidates(prefer func(Witness) bool) []Witness {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Witness
	for _, w := range b.opts.Hosts() {
		if until, ok := b.backoffUntil[w.Addr]; ok && now.Before(until) || w.Name == b.opts.Name {
			continue
		}
		delete(b.backoffUntil, w.Addr)
		out = append(out, w)
	}
	slices.SortFunc(out, func(x, y Witness) int {
		return cmp.Or(
			cmp.Compare(preferenceRank(x, prefer), preferenceRank(y, prefer)),
			cmp.Compare(b.localityRank(x), b.localityRank(y)),
			cmp.Compare(b.spreadHash(x), b.spreadHash(y)),
			cmp.Compare(x.Name, y.Name),
		)
	})
	return out[:min(len(out), maxHoldAttempts)]
}

func preferenceRank(w Witness, prefer func(Witness) bool) int {
	if prefer != nil && prefer(w) {
		return 0
	}
	return 1
}

func (b *BillingClient) localityRank(w Witness) int {
	switch {
	case w.Zone == b.opts.Zone && w.Disk:
		return 0
	case w.Zone == b.opts.Zone:
		return 1
	}
	return 2
}

func (b *BillingClient) spreadHash(w Witness) uint64 {
	return xxhash.Sum64String(b.opts.Name + "\x00" + w.Name)
}

// removeAssignments removes the assignments of the marked records and returns
// the marks by witness.
func (b *BillingClient) removeAssignments(marks []biller.Mark) map[netip.AddrPort][]biller.Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[netip.AddrPort][]biller.Mark)
	for _, m := range marks {
		a := b.assignments[m.ID]
		delete(b.assignments, m.ID)
		if a.addr.IsValid() {
			out[a.addr] = append(out[a.addr], m)
		}
	}
	return out
}
