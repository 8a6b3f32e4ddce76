package hoster

import (
	"path/filepath"
	"sync"

	"foxtailwall/biller"
	"foxtailwall/journaler"
)

// outboxFolder holds undelivered billing records below the data folder.
const outboxFolder = "outbox"

// outboxDisk keeps an outbox in a journal, on a host with a disk.
type outboxDisk struct {
	box *biller.Outbox

	mu      sync.Mutex
	journal *journaler.Journal
	next    uint64
}

// openOutbox opens the outbox and reads the records that an earlier process
// of this host left.
func (h *Host) openOutbox() error {
	h.outbox = &outboxDisk{}
	if h.set.DataFolder == "" {
		h.outbox.box = biller.NewOutbox(biller.OutboxOptions{})
		return nil
	}
	fs, err := journaler.NewOS(filepath.Join(h.set.DataFolder, outboxFolder))
	if err != nil {
		return err
	}
	journal, state, err := journaler.Open(fs)
	if err != nil {
		return err
	}
	h.outbox.journal = journal
	h.outbox.next = state.Snapshot.Index + uint64(len(state.Entries)) + 1
	h.outbox.box = biller.NewOutbox(biller.OutboxOptions{Append: h.outbox.append, Rewrite: h.outbox.rewrite})
	now := h.clock.Now()
	if len(state.Snapshot.Data) > 0 {
		if err := h.outbox.box.Load(state.Snapshot.Data, now); err != nil {
			return err
		}
	}
	for _, e := range state.Entries {
		if err := h.outbox.box.Load(e.Data, now); err != nil {
			return err
		}
	}
	return nil
}

func (o *outboxDisk) append(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.journal.Write(nil, []journaler.Entry{{Index: o.next, Data: b}}); err != nil {
		return err
	}
	o.next++
	return nil
}

// rewrite replaces all entries by a snapshot that stands for them.
func (o *outboxDisk) rewrite(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.journal.Save(journaler.Snapshot{Index: o.next - 1, Data: b})
}
