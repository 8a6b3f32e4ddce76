package controller

import (
	"fmt"
	"sync"
	"time"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/declarer"
	"foxtailwall/serializer"
)

const (
	// A command may remove prunePerEntry elements of each table, and
	// prunePerItem more for each of its items. An item adds at most one
	// element, so that two per item let the tables shrink under constant load.
	prunePerItem  = 2
	prunePerEntry = 16
	// prunePerPrune is the number of elements of each table that a Prune
	// command may remove. At PruneInterval it keeps up with 800 elements a
	// second on an idle group.
	prunePerPrune = 8192
	// minYear and maxYear bound the time of a command. Times far outside do
	// not fit the Unix nanoseconds and the text form used in snapshots.
	minYear, maxYear = 2000, 2200
)

type (
	// Checker returns the faults of a configuration, empty if it is valid.
	Checker func(declarer.Config) []string

	// Machine holds the state of the control group. It is safe for concurrent
	// use, but only the replicated log may call Apply and Restore. Create it
	// with New.
	Machine struct {
		check Checker

		mu      sync.RWMutex
		view    declarer.View
		changed chan struct{}
		// viewDirty says that the current command has changed the view.
		viewDirty bool

		// rawConfig and config are the configuration as declared, encoded and
		// decoded. view.Config also has the versions of finished rollouts as
		// stable.
		rawConfig     []byte
		config        declarer.Config
		configVersion uint64
		declared      map[declarationKey]declaration
		history       []Change
		answers       answerCache

		claims claimer.Table
		ledger biller.Ledger
		pins   pinTable
		owners map[string]engineOwner

		document        Document
		orderedRollouts []OrderedRollout
		isolations      []Isolation
		evacuations     []declarer.Evacuation
		published       Published
	}

	// entryMeta is the log index of a command and the leader's time in it.
	entryMeta struct {
		index uint64
		at    time.Time
	}
)

// New returns an empty machine. A nil checker accepts every configuration.
func New(check Checker) *Machine {
	if check == nil {
		check = func(declarer.Config) []string { return nil }
	}
	return &Machine{check: check, changed: make(chan struct{}), owners: make(map[string]engineOwner)}
}

// Apply implements replicator.Machine.
func (m *Machine) Apply(index uint64, cmd []byte) []byte {
	var c Command
	if err := serializer.Unmarshal(cmd, &c); err != nil {
		return encodeResult(Result{Fault: err.Error()})
	}
	e := entryMeta{index: index, at: c.At.UTC()}
	if e.at.Year() < minYear || e.at.Year() > maxYear {
		return encodeResult(Result{Fault: fmt.Sprintf("the time %v of the command is out of range; set the leader's clock", e.at)})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	res := Result{Answers: make([]Answer, len(c.Items))}
	budget := prunePerEntry
	for i := range c.Items {
		res.Answers[i] = m.applyItem(e, &c.Items[i])
		budget += pruneAllowance(&c.Items[i])
	}
	m.prune(e.at, budget)
	if m.viewDirty {
		m.publishView(index)
	}
	return encodeResult(res)
}

// View returns the configuration, rollouts and quarantines that hosts use. The
// caller must not change its slices.
func (m *Machine) View() declarer.View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view
}

// Changed returns a channel that is closed at the next change of the view.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Ledger returns the totals of the ledger, the number of refused deliveries and
// the stored records, sorted by ID.
func (m *Machine) Ledger() (totals []biller.Total, refused int64, recs []biller.Record) {
	totals, refused, list := m.readLedger()
	return totals, refused, list()
}

// readLedger returns the totals, the number of refused deliveries and a
// function that lists the records, which runs without holding the lock.
func (m *Machine) readLedger() ([]biller.Total, int64, func() []biller.Record) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Totals(), m.ledger.Refusals(), m.ledger.Records()
}

// Sizes returns the number of stored claims, pins and billing records, and the
// number of refused deliveries of records.
func (m *Machine) Sizes() (claims, pins, records int, refused int64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Len(), m.pins.pins.Len(), m.ledger.Len(), m.ledger.Refusals()
}

// applyItem applies one item of a command.
func (m *Machine) applyItem(e entryMeta, it *Item) Answer {
	switch {
	case it.Apply != nil:
		return Answer{Apply: m.applyChange(e, it.Apply)}
	case it.Claim != nil:
		r := m.claims.Claim(*it.Claim, e.at, m.retention().Claims)
		return Answer{Claim: &r}
	case it.Finish != nil:
		return Answer{OK: m.claims.Finish(it.Finish.Key, it.Finish.RequestID, it.Finish.Response)}
	case it.Release != nil:
		return Answer{OK: m.claims.Release(it.Release.Key, it.Release.RequestID, e.at, m.retention().Claims)}
	case it.Pin != nil:
		p := m.pins.getOrAdd(*it.Pin, e.at)
		return Answer{Pin: &p}
	case it.Repin != nil:
		p := m.pins.replace(it.Repin.Old, it.Repin.New, e.at)
		return Answer{Pin: &p}
	case it.Bill != nil:
		return Answer{Refused: m.ledger.Add(it.Bill.Records, e.at, m.retention().Bills)}
	case it.Promote != nil:
		return Answer{Promote: m.promote(e, it.Promote)}
	case it.Quarantine != nil:
		return Answer{Quarantine: m.quarantine(it.Quarantine)}
	case it.Own != nil:
		return Answer{Own: m.updateOwner(e, it.Own)}
	case it.Put != nil:
		return Answer{Put: m.putDocument(it.Put)}
	case it.Order != nil:
		return m.orderService(e, it.Order)
	case it.Step != nil:
		return Answer{OK: m.stepOrderedRollout(it.Step)}
	case it.Isolation != nil:
		return Answer{OK: m.stepIsolation(e.at, it.Isolation)}
	case it.Evacuation != nil:
		return Answer{Evacuated: m.orderEvacuation(e.at, it.Evacuation)}
	case it.Prune != nil:
		m.pruneOwners(e.at)
		return Answer{OK: true}
	}
	return Answer{Fault: "the kind of the item is unknown; all control hosts must run the same release"}
}

// prune removes up to limit expired elements from each table.
func (m *Machine) prune(at time.Time, limit int) {
	r := m.retention()
	m.claims.Prune(at, r.Claims, limit)
	m.ledger.Prune(at, r.Bills, limit)
	m.pins.prune(at, r.Pins, limit)
}

// retention returns the declared retention with defaults filled in.
func (m *Machine) retention() declarer.Retention {
	r := m.config.Retention
	if r.Claims <= 0 {
		r.Claims = claimer.DefaultWindow
	}
	if r.Pins <= 0 {
		r.Pins = DefaultPinRetention
	}
	if r.Bills <= 0 {
		r.Bills = biller.DefaultRetention
	}
	return r
}

// publishView creates a view that shares no mutable memory with the state, and
// notifies the waiters of Changed.
func (m *Machine) publishView(index uint64) {
	m.viewDirty = false
	m.view.Version = index
	m.view.Config = m.effectiveConfig()
	// Appending to nil makes an empty list nil, as it is after Restore.
	m.view.Progress = append([]declarer.Progress(nil), m.view.Progress...)
	m.view.Quarantined = append([]declarer.VersionRef(nil), m.view.Quarantined...)
	m.published = Published{
		Version: index, Document: m.document, Rollouts: m.orderedRollouts, Isolations: m.isolations, Evacuations: m.evacuations,
	}.WithEvacuations()
	m.view.Evacuated = append([]declarer.Evacuation(nil), m.published.Evacuations...)
	close(m.changed)
	m.changed = make(chan struct{})
}

// pruneAllowance returns how many elements of each table may be pruned because
// of an item.
func pruneAllowance(it *Item) int {
	switch {
	case it.Prune != nil:
		return prunePerPrune
	case it.Bill != nil:
		return prunePerItem * len(it.Bill.Records)
	}
	return prunePerItem
}

func encodeResult(r Result) []byte {
	b, err := serializer.Marshal(r)
	if err != nil {
		// Results hold only strings, numbers and bytes, which always encode.
		panic(fmt.Sprintf("encode result: %v", err))
	}
	return b
}
