package allotter

import (
	"io"
	"net/netip"
)

const (
	// uploadNumerator and uploadDenominator give the part of the memory for uploads.
	// The rest is for responses, which would otherwise be cut after they have run.
	uploadNumerator, uploadDenominator = 2, 3
	// holderNumerator and holderDenominator give the part of that for one holder.
	holderNumerator, holderDenominator = 3, 4
	// smallUpload is the size in bytes up to which an upload may use the last
	// 1/smallReserve of the memory for uploads.
	smallUpload, smallReserve = 64 << 10, 8
	// firstRead is the space in bytes with which the body of an upload is read first.
	firstRead = 4 << 10
)

type (
	// Holder is the one that uploads are counted for: the address of a caller, or its
	// workspace if that is known.
	Holder struct {
		Address   netip.Addr
		Workspace string
	}

	// Upload is the memory of a request that is being received, and then until it
	// ends. It is used by one goroutine.
	Upload struct {
		memory *Memory
		holder Holder
		cancel func()

		// The fields below are guarded by the mutex of memory.

		// number orders the uploads by the time at which they began to hold memory.
		number              uint64
		bytes               int64
		complete, cancelled bool
	}

	// CancelledError reports an upload that was cancelled in favour of others.
	CancelledError struct{}
)

// Error implements error.
func (*CancelledError) Error() string {
	return "the upload was cancelled because others need its memory"
}

// NewUpload returns an upload without memory. The function must end the pending and
// later reads of the upload and return at once; it must not call this package.
func (m *Memory) NewUpload(h Holder, cancel func()) *Upload {
	return &Upload{memory: m, holder: h, cancel: cancel}
}

// Uploaded returns the number of bytes that all uploads hold.
func (m *Memory) Uploaded() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.uploaded
}

// Grow extends the upload to the given number of bytes. It may wait until other
// uploads that it cancels have ended. The error is an *ExhaustedError if there is no
// room, and a *CancelledError if this upload was cancelled.
func (u *Upload) Grow(bytes int64) error {
	m := u.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.bytes == 0 {
		m.nextUpload++
		u.number = m.nextUpload
	}
	for {
		switch {
		case u.cancelled:
			return &CancelledError{}
		case bytes <= u.bytes:
			return nil
		case m.fits(u, bytes):
			m.add(u, bytes-u.bytes)
			return nil
		case !m.makeRoom(u, bytes):
			return &ExhaustedError{bytes}
		}
		if m.released == nil {
			m.released = make(chan struct{})
		}
		released := m.released
		m.mu.Unlock()
		<-released
		m.mu.Lock()
	}
}

// Complete says that the request was received and may run. It reports false if the
// upload was cancelled before.
func (u *Upload) Complete() bool {
	u.memory.mu.Lock()
	defer u.memory.mu.Unlock()
	u.complete = !u.cancelled
	return u.complete
}

// Cancelled reports whether the upload was cancelled.
func (u *Upload) Cancelled() bool {
	u.memory.mu.Lock()
	defer u.memory.mu.Unlock()
	return u.cancelled
}

// Release returns all memory of the upload, which may then be used again.
func (u *Upload) Release() {
	m := u.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if u.bytes > 0 {
		m.add(u, -u.bytes)
		m.wake()
	}
	u.complete, u.cancelled = false, false
}

// ReadAll reads r to its end. Memory grows with what has arrived, not with the
// announced length, and includes the smaller slice from which the body was copied, since
// that is collected later. Errors are a *TooLongError, those of Grow or that of r.
func (u *Upload) ReadAll(r io.Reader, l Limits) ([]byte, error) {
	if l.Length > l.MaxBytes {
		return nil, &TooLongError{l.MaxBytes}
	}
	size := int64(firstRead)
	if l.Length >= 0 {
		size = min(l.Length+1, firstRead)
	}
	if err := u.Grow(l.Held + size); err != nil {
		return nil, err
	}
	body, err := readAll(r, l, size, func(bytes int64) error { return u.Grow(l.Held + bytes + bytes/2) })
	if u.Cancelled() {
		return nil, &CancelledError{}
	}
	return body, err
}

// uploadTotal is the memory for uploads in bytes.
func (m *Memory) uploadTotal() int64 { return m.total() / uploadDenominator * uploadNumerator }

// fits reports whether the upload may hold the bytes now. The caller holds mu.
func (m *Memory) fits(u *Upload, bytes int64) bool {
	limit := m.uploadTotal()
	if bytes > smallUpload {
		limit -= limit / smallReserve
	}
	need := bytes - u.bytes
	return m.uploaded+need <= limit && m.used+need <= m.total() && m.fitsHolder(u, need)
}

// fitsHolder reports whether the holder of the upload may hold that many more bytes.
// The caller holds mu.
func (m *Memory) fitsHolder(u *Upload, need int64) bool {
	return m.byHolder[u.holder]+need <= m.uploadTotal()/holderDenominator*holderNumerator
}

// add changes what the upload holds. The caller holds mu.
func (m *Memory) add(u *Upload, bytes int64) {
	if m.uploads == nil {
		m.uploads, m.byHolder = make(map[*Upload]struct{}), make(map[Holder]int64)
	}
	u.bytes += bytes
	m.used += bytes
	m.uploaded += bytes
	m.byHolder[u.holder] += bytes
	if m.byHolder[u.holder] == 0 {
		delete(m.byHolder, u.holder)
	}
	if u.bytes == 0 {
		delete(m.uploads, u)
	} else {
		m.uploads[u] = struct{}{}
	}
}

// makeRoom cancels an upload so that u may hold the bytes, unless cancelled ones are
// still to release theirs. It reports false if u itself is the one to cancel, or if
// none can be. The caller holds mu.
func (m *Memory) makeRoom(u *Upload, bytes int64) bool {
	need := bytes - u.bytes
	own := !m.fitsHolder(u, need)
	victim, weight := u, m.byHolder[u.holder]+need
	for other := range m.uploads {
		switch {
		case other.cancelled:
			if !own || other.holder == u.holder {
				return true
			}
			continue
		case other.complete || own && other.holder != u.holder:
			continue
		}
		w := m.byHolder[other.holder]
		if other.holder == u.holder {
			w += need
		}
		if w > weight || w == weight && other.number < victim.number {
			victim, weight = other, w
		}
	}
	if victim == u {
		return false
	}
	victim.cancelled = true
	victim.cancel()
	m.wake() // The cancelled upload may itself wait for room.
	return true
}

// wake lets the uploads and shares that wait for room look again. The caller holds mu.
func (m *Memory) wake() {
	if m.released != nil {
		close(m.released)
		m.released = nil
	}
}
