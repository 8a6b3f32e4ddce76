package syncer

import (
	"slices"

	"foxtailwall/controller"
)

// addParts adds what a host that accepts parts does not have yet: at most one
// part of a document or a list, and everything that is small. The caller holds
// mu.
func (h *Hub) addParts(u *Update, r *Report, p controller.Published) {
	d := h.documentFor(r, p)
	switch {
	case d != nil:
		u.Part = d.blob.part(received(r, d.blob), r.PartBytes)
		if u.Part.isLast() {
			published := d.published
			u.Published = &published
		}
	case p.Version > r.Published:
		published := withoutBody(p)
		u.Published = &published
	}
	if h.list.Name == "" || h.list.Name == r.List {
		return
	}
	if c, ok := h.changeSince(r.List); ok {
		u.Change = &c
	} else if u.Part == nil && u.Published == nil {
		// With Published, a part completes a document.
		if b := h.encodedList(); b != nil {
			u.Part = b.part(received(r, b), r.PartBytes)
		}
	}
}

// documentFor returns the document to send to a host: the one that it is
// receiving, or else the current one. It returns nil if the host has the current
// document, or none can be encoded.
func (h *Hub) documentFor(r *Report, p controller.Published) *encodedDocument {
	current := h.retain(p)
	if r.Document >= p.Document.Version {
		return nil
	}
	if r.Partial != nil {
		i := slices.IndexFunc(h.documents, func(d *encodedDocument) bool {
			return d.blob.name == r.Partial.Name && d.published.Document.Version > r.Document
		})
		if i >= 0 {
			return h.documents[i]
		}
	}
	return current
}

// retain encodes the current document, if that was not done yet, and keeps it
// with the newest state that has it.
func (h *Hub) retain(p controller.Published) *encodedDocument {
	version := p.Document.Version
	i := slices.IndexFunc(h.documents, func(d *encodedDocument) bool { return d.published.Document.Version == version })
	if i >= 0 {
		h.documents[i].published = withoutBody(p)
		return h.documents[i]
	}
	if version == 0 {
		return nil
	}
	start := h.set.Clock.Now()
	b, err := newBlob("document", p.Document)
	if err != nil {
		h.set.Log.Error().Err(err).Uint64("version", version).Msg("cannot encode the configuration for the hosts")
		return nil
	}
	d := &encodedDocument{published: withoutBody(p), blob: b}
	h.documents = append(h.documents, d)
	h.documents = h.documents[max(0, len(h.documents)-maxDocuments):]
	h.set.Log.Info().Uint64("version", version).Int("bytes", len(p.Document.Body)).Int("encoded", len(b.data)).
		Dur("took", h.set.Clock.Since(start)).Msg("configuration encoded for the hosts")
	return d
}

// encodedList returns the encoding of the newest list, or nil if it cannot be
// encoded.
func (h *Hub) encodedList() *blob {
	if h.listBlob == nil {
		b, err := newBlob("list", h.list)
		if err != nil {
			h.set.Log.Error().Err(err).Msg("cannot encode the list of upstreams for the hosts")
			return nil
		}
		h.listBlob = b
	}
	return h.listBlob
}

// received returns how much of the encoding the host has.
func received(r *Report, b *blob) int {
	if r.Partial == nil || r.Partial.Name != b.name {
		return 0
	}
	return r.Partial.Received
}

// withoutBody returns p without the body of its document.
func withoutBody(p controller.Published) controller.Published {
	p.Document = controller.Document{Version: p.Document.Version}
	return p
}
