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
	// prunePerItem and pruneBase bound the pruning of an ordinary command.
	// Every item adds at most one element, so that two for each item let the
	// tables shrink under constant load.
	prunePerItem = 2
	pruneBase    = 16
	// pruneTick bounds the pruning of a Prune command in each table. At
	// PruneInterval it keeps up with 800 elements a second on an idle group.
	pruneTick = 8192
	// minYear and maxYear bound the time of a command. Beyond them times do
	// not fit the Unix nanoseconds and the text form of the snapshot.
	minYear, maxYear = 2000, 2200
)

type (
	// Checker returns the faults of a configuration, empty if it is valid.
	Checker func(declarer.Config) []string

	// Machine is the state of the control group. It is safe for use by
	// several goroutines; Apply and Restore are called by the replicated log
	// only. Make it with New.
	Machine struct {
		check Checker

		mu      sync.RWMutex
		view    declarer.View
		changed chan struct{}
		// touched says that the command being applied has changed the view.
		touched bool

		// raw and config are the configuration as declared; view.Config has
		// the stable versions of finished rollouts filled in.
		raw           []byte
		config        declarer.Config
		configVersion uint64
		declared      map[ref]declaration
		history       []Change
		answers       answers

		claims claimer.Table
		ledger biller.Ledger
		pins   pinTable
		owners map[string]owner

		document Document
		rollouts []OrderedRollout
	}

	// stamp is what all items of one command share.
	stamp struct {
		index uint64
		at    time.Time
	}
)

// New returns an empty machine. A nil checker finds no faults.
func New(check Checker) *Machine {
	if check == nil {
		check = func(declarer.Config) []string { return nil }
	}
	return &Machine{check: check, changed: make(chan struct{}), owners: make(map[string]owner)}
}

// Apply implements replicator.Machine.
func (m *Machine) Apply(index uint64, cmd []byte) []byte {
	var c Command
	if err := serializer.Unmarshal(cmd, &c); err != nil {
		return encodeResult(Result{Fault: err.Error()})
	}
	s := stamp{index: index, at: c.At.UTC()}
	if s.at.Year() < minYear || s.at.Year() > maxYear {
		return encodeResult(Result{Fault: fmt.Sprintf("the time %v of the command is wrong; set the leader's clock", s.at)})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	res := Result{Answers: make([]Answer, len(c.Items))}
	budget := pruneBase
	for i := range c.Items {
		res.Answers[i] = m.item(s, &c.Items[i])
		budget += cost(&c.Items[i])
	}
	m.prune(s.at, budget)
	if m.touched {
		m.publish(index)
	}
	return encodeResult(res)
}

// View returns what the hosts are to use. Its slices must not be changed.
func (m *Machine) View() declarer.View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view
}

// Changed returns a channel that is closed when the view changes.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Ledger returns the sums of the ledger, the number of refused deliveries and
// the single records that are kept, sorted by ID.
func (m *Machine) Ledger() (totals []biller.Total, refused int64, recs []biller.Record) {
	totals, refused, list := m.ledgerParts()
	return totals, refused, list()
}

func (m *Machine) ledgerParts() ([]biller.Total, int64, func() []biller.Record) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Totals(), m.ledger.Refusals(), m.ledger.Records()
}

// Sizes returns the number of claims, pins and single records that are kept,
// and that of the refused deliveries of records.
func (m *Machine) Sizes() (claims, pins, records int, refused int64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Len(), m.pins.pins.Len(), m.ledger.Len(), m.ledger.Refusals()
}

func (m *Machine) item(s stamp, it *Item) Answer {
	switch {
	case it.Apply != nil:
		return Answer{Apply: m.apply(s, it.Apply)}
	case it.Claim != nil:
		r := m.claims.Claim(*it.Claim, s.at, m.retention().Claims)
		return Answer{Claim: &r}
	case it.Finish != nil:
		return Answer{Done: m.claims.Finish(it.Finish.Key, it.Finish.RequestID, it.Finish.Response)}
	case it.Release != nil:
		return Answer{Done: m.claims.Release(it.Release.Key, it.Release.RequestID, s.at, m.retention().Claims)}
	case it.Pin != nil:
		p := m.pins.pin(*it.Pin, s.at)
		return Answer{Pin: &p}
	case it.Repin != nil:
		p := m.pins.repin(it.Repin.Old, it.Repin.New, s.at)
		return Answer{Pin: &p}
	case it.Bill != nil:
		return Answer{Refused: m.ledger.Add(it.Bill.Records, s.at, m.retention().Bills)}
	case it.Promote != nil:
		return Answer{Promote: m.promote(s, it.Promote)}
	case it.Quarantine != nil:
		return Answer{Quarantine: m.quarantine(it.Quarantine)}
	case it.Own != nil:
		return Answer{Own: m.own(s, it.Own)}
	case it.Put != nil:
		return Answer{Put: m.put(it.Put)}
	case it.Order != nil:
		return Answer{Ordered: m.order(s, it.Order)}
	case it.Step != nil:
		return Answer{Done: m.stepOrder(it.Step)}
	case it.Prune != nil:
		m.pruneOwners(s.at)
		return Answer{Done: true}
	}
	return Answer{Fault: "the item has no known kind; all control hosts must run this release"}
}

// prune removes up to limit elements past their retention from each table.
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

// publish makes a new view, which shares no changeable memory with the state.
func (m *Machine) publish(index uint64) {
	m.touched = false
	m.view.Version = index
	m.view.Config = m.effective()
	// Appending to nil makes an empty list nil, as it is after Restore.
	m.view.Progress = append([]declarer.Progress(nil), m.view.Progress...)
	m.view.Quarantined = append([]declarer.VersionRef(nil), m.view.Quarantined...)
	close(m.changed)
	m.changed = make(chan struct{})
}

// cost returns the number of elements that an item may cause to be pruned.
func cost(it *Item) int {
	switch {
	case it.Prune != nil:
		return pruneTick
	case it.Bill != nil:
		return prunePerItem * len(it.Bill.Records)
	}
	return prunePerItem
}

func encodeResult(r Result) []byte {
	b, err := serializer.Marshal(r)
	if err != nil {
		// Results consist of strings, numbers and bytes, which always encode.
		panic(fmt.Sprintf("encode result: %v", err))
	}
	return b
}
