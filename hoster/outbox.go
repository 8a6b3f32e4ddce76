package hoster

import (
	"path/filepath"
	"sync"

	"foxtailwall/biller"
	"foxtailwall/journaler"
)

// outboxFolder is the subfolder of the data folder for undelivered billing
// records.
const outboxFolder = "outbox"

// diskOutbox is the outbox of billing records, kept in a journal on hosts with a
// disk and in memory on others.
type diskOutbox struct {
	records *biller.Outbox

	mu        sync.Mutex
	journal   *journaler.Journal
	nextIndex uint64
}

// openOutbox opens the outbox and loads the records that an earlier process of
// this host has left on disk.
func (h *Host) openOutbox() error {
	h.outbox = &diskOutbox{}
	if h.settings.DataFolder == "" {
		h.outbox.records = biller.NewOutbox(biller.OutboxOptions{})
		return nil
	}
	fs, err := journaler.NewOS(filepath.Join(h.settings.DataFolder, outboxFolder))
	if err != nil {
		return err
	}
	journal, state, err := journaler.Open(fs)
	if err != nil {
		return err
	}
	h.outbox.journal = journal
	h.outbox.nextIndex = state.Snapshot.Index + uint64(len(state.Entries)) + 1
	h.outbox.records = biller.NewOutbox(biller.OutboxOptions{Append: h.outbox.append, Rewrite: h.outbox.rewrite})
	now := h.clock.Now()
	if len(state.Snapshot.Data) > 0 {
		if err := h.outbox.records.Load(state.Snapshot.Data, now); err != nil {
			return err
		}
	}
	for _, e := range state.Entries {
		if err := h.outbox.records.Load(e.Data, now); err != nil {
			return err
		}
	}
	return nil
}

func (o *diskOutbox) append(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.journal.Write(nil, []journaler.Entry{{Index: o.nextIndex, Data: b}}); err != nil {
		return err
	}
	o.nextIndex++
	return nil
}

// rewrite replaces all entries of the journal by a snapshot b of the outbox.
func (o *diskOutbox) rewrite(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.journal.Save(journaler.Snapshot{Index: o.nextIndex - 1, Data: b})
}
