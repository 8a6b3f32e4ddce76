// Package allotter divides the memory for requests and for large responses among the
// requests that hold them.
//
// An upstream in trouble may send bytes without end. A limit for each response does
// not bound them all together, and a common limit alone would let those without end
// take the memory of the others. So each request that reads a large response gets at
// most its equal share of the memory; responses up to FreeBytes, which nearly all
// are, need none. All together leave an eighth of the memory to uploads.
//
// A response may wait until others have been written to their callers. The one that has
// asked for memory first then gets what is free, also beyond its equal share. If all that
// hold memory wait, none would ever end; then the newest one fails.
//
// Callers may send bodies or headers that never end. Those that are being received are
// an Upload. Uploads use at most two thirds of the memory, so that responses find some,
// and those of one holder, which is an address or a workspace, at most three quarters
// of that. If there is no room for an upload, the oldest one of the holder that holds
// most is cancelled: it has not run yet, and those of ordinary callers are received
// within moments. Uploads that are complete are never cancelled.
//
// # Usage
//
//	memory := &allotter.Memory{Total: 64 << 20}
//	share := memory.NewShare()
//	defer share.Release()
//	body, err := share.ReadAll(resp, allotter.Limits{
//		Length: resp.Length, MaxBytes: 16 << 20, Wait: func(bytes int64) error { return share.Await(ctx, bytes) },
//	})
//
//	upload := memory.NewUpload(allotter.Holder{Address: addr}, cancelRead)
//	defer upload.Release()
//	body, err := upload.ReadAll(r.Body, allotter.Limits{Length: r.ContentLength, MaxBytes: 4 << 20})
package allotter

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// FreeBytes is the size up to which a response needs no share.
	FreeBytes = 64 << 10
	// defaultTotal is the memory if none is set.
	defaultTotal = 64 << 20
	// minRead is the space with which a body of unknown length is read first.
	minRead = 2 << 10
	// uploadReserve is the part of the memory, one divided by it, that responses leave
	// to uploads: callers that don't read would otherwise keep requests with bodies out.
	uploadReserve = 8
)

type (
	// Memory is the memory for requests and large responses. Its zero value is ready to
	// use. It is safe for use by several goroutines.
	Memory struct {
		// Total is in bytes; zero means 64 MiB. It must not change while the memory is
		// in use.
		Total int64
		// MaxWaiting limits the responses that wait for memory at the same time; zero
		// means no limit. It must not change while the memory is in use.
		MaxWaiting int

		mu sync.Mutex
		// used is what all requests hold, uploaded the part of it for uploads.
		used, uploaded int64
		// holders is the number of shares that hold memory.
		holders int64
		// waiting are the shares that wait for memory, with what they would hold then.
		waiting map[*Share]int64
		// nextShare is the number of the newest share that has asked for memory.
		nextShare uint64

		uploads map[*Upload]struct{}
		// byHolder is what the uploads of each holder hold.
		byHolder map[Holder]int64
		// nextUpload is the number of the newest upload.
		nextUpload uint64
		// released is closed when memory is released, and when an upload is cancelled or
		// a waiting share has failed; nil if none waits for that.
		released chan struct{}
	}

	// Share is the part of the memory that one response holds. It is used by one
	// goroutine.
	Share struct {
		memory *Memory
		// number orders the shares by the time at which they first asked for memory.
		number uint64

		// The fields below are guarded by the mutex of memory.

		bytes int64
		// failed is true if the wait ended in favour of older shares.
		failed bool
	}

	// Shares are the shares of one request, which may make several attempts. The zero
	// value is empty. It is safe for use by several goroutines.
	Shares struct {
		mu   sync.Mutex
		list []*Share
	}

	// Limits are the limits of one body.
	Limits struct {
		// Length is the announced length, negative if there is none.
		Length int64
		// MaxBytes is the largest body that is accepted.
		MaxBytes int64
		// Held is the size of other bodies that the request keeps.
		Held int64
		// Wait waits until a share may hold the given number of bytes; without it, a
		// body for which there is no room fails with an *ExhaustedError.
		Wait func(bytes int64) error
	}

	// TooLongError reports a body of more than MaxBytes.
	TooLongError struct{ MaxBytes int64 }

	// ExhaustedError reports a body that exceeds the share of its request.
	ExhaustedError struct{ Bytes int64 }
)

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("the body exceeds %d bytes", e.MaxBytes) }

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("a body of %d bytes exceeds this request's share of the memory for large responses", e.Bytes)
}

// NewShare returns an empty share.
func (m *Memory) NewShare() Share { return Share{memory: m} }

// Used returns the number of bytes that all requests hold.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Grow extends the share to the given number of bytes, if there is room, and reports
// whether the request may hold as many.
func (s *Share) Grow(bytes int64) bool {
	m := s.memory
	if bytes <= FreeBytes {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.growShare(s, bytes)
}

// Await extends the share as Grow does, but waits until there is room. The error is an
// *ExhaustedError if ctx ends before, too many wait, or older responses need the memory
// of this one.
func (s *Share) Await(ctx context.Context, bytes int64) error {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if bytes > m.responseTotal() {
		return &ExhaustedError{bytes}
	}
	if m.waiting == nil {
		m.waiting = make(map[*Share]int64)
	}
	m.setNumber(s)
	m.waiting[s], s.failed = bytes, false
	defer func() {
		delete(m.waiting, s)
		m.wake() // Another one may be the oldest now.
	}()
	if m.MaxWaiting > 0 && len(m.waiting) > m.MaxWaiting {
		m.failNewest(false)
	}
	for {
		if !s.failed && m.growShare(s, bytes) {
			return nil
		}
		m.resolveDeadlock()
		if s.failed || ctx.Err() != nil {
			return &ExhaustedError{bytes}
		}
		if m.released == nil {
			m.released = make(chan struct{})
		}
		released := m.released
		m.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
		}
		m.mu.Lock()
	}
}

// Release returns the whole share. A nil share has none.
func (s *Share) Release() {
	if s == nil {
		return
	}
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.bytes == 0 {
		return
	}
	m.used -= s.bytes
	m.holders--
	s.bytes = 0
	m.wake()
}

// NewShare returns an empty share of m that Release returns, too.
func (r *Shares) NewShare(m *Memory) *Share {
	s := m.NewShare()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, &s)
	return &s
}

// Release returns all shares.
func (r *Shares) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.list {
		s.Release()
	}
	r.list = nil
}

// Waiting reports whether one of the shares waits for memory.
func (r *Shares) Waiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.list, func(s *Share) bool {
		s.memory.mu.Lock()
		defer s.memory.mu.Unlock()
		_, waits := s.memory.waiting[s]
		return waits
	})
}

// growShare extends the share if there is room, and reports whether it may hold as many
// bytes. The caller holds mu.
func (m *Memory) growShare(s *Share, bytes int64) bool {
	if bytes <= max(FreeBytes, s.bytes) {
		return true
	}
	total, holders := m.total(), m.holders
	if s.bytes == 0 {
		holders++
	}
	need := bytes - s.bytes
	if bytes > total/holders && s != m.oldestWaiting() || m.used+need > total || m.used-m.uploaded+need > m.responseTotal() {
		return false
	}
	m.setNumber(s)
	m.used += need
	m.holders, s.bytes = holders, bytes
	return true
}

// setNumber gives the share a number, unless it has one. The caller holds mu.
func (m *Memory) setNumber(s *Share) {
	if s.number == 0 {
		m.nextShare++
		s.number = m.nextShare
	}
}

// oldestWaiting returns the oldest of the waiting shares, nil if none waits. The caller
// holds mu.
func (m *Memory) oldestWaiting() *Share {
	var oldest *Share
	for s := range m.waiting {
		if !s.failed && (oldest == nil || s.number < oldest.number) {
			oldest = s
		}
	}
	return oldest
}

// failNewest ends the wait of the newest waiting share, or of the newest one with memory,
// unless it is the only one. The caller holds mu.
func (m *Memory) failNewest(withMemory bool) {
	var newest *Share
	for s := range m.waiting {
		if !s.failed && (s.bytes > 0 || !withMemory) && (newest == nil || s.number > newest.number) {
			newest = s
		}
	}
	if newest != nil && newest != m.oldestWaiting() {
		newest.failed = true
		m.wake()
	}
}

// resolveDeadlock fails the newest waiting share with memory if all shares with memory
// wait, and if the oldest one could grow without them. The caller holds mu.
func (m *Memory) resolveDeadlock() {
	var held int64
	for s := range m.waiting {
		if s.failed {
			return // It is about to release its memory.
		}
		if s.bytes > 0 {
			held++
		}
	}
	if oldest := m.oldestWaiting(); oldest != nil && held == m.holders && m.uploaded+m.waiting[oldest] <= m.total() {
		m.failNewest(true)
	}
}

// responseTotal is the memory that responses may hold together, in bytes.
func (m *Memory) responseTotal() int64 { return m.total() - m.total()/uploadReserve }

func (m *Memory) total() int64 {
	if m.Total > 0 {
		return m.Total
	}
	return defaultTotal
}

// ReadAll reads r to its end. Memory grows with what has arrived, not with the
// announced length, and includes the smaller slice from which a large body was copied,
// since that is collected later. Errors are a *TooLongError, an *ExhaustedError, that of
// Limits.Wait or that of r.
func (s *Share) ReadAll(r io.Reader, l Limits) ([]byte, error) {
	if l.Length > l.MaxBytes {
		return nil, &TooLongError{l.MaxBytes}
	}
	size := int64(minRead)
	if l.Length >= 0 {
		// The read that meets the end needs space, too.
		size = min(l.Length+1, FreeBytes)
	}
	return readAll(r, l, size, func(bytes int64) error {
		need := l.Held + bytes
		if bytes > FreeBytes {
			need += bytes / 2
		}
		switch {
		case s.Grow(need):
			return nil
		case l.Wait != nil:
			return l.Wait(need)
		}
		return &ExhaustedError{need}
	})
}

// readAll reads r to its end into a slice that has the given size at first. The slice
// grows only if grow, which gets its new size, returns no error. A body that fills the
// slice exactly needs no more memory, so one byte is read before it grows.
func readAll(r io.Reader, l Limits, size int64, grow func(bytes int64) error) ([]byte, error) {
	body := make([]byte, 0, size)
	next := make([]byte, 1)
	for {
		space, full := body[len(body):cap(body)], len(body) == cap(body)
		if full {
			space = next
		}
		n, err := r.Read(space)
		switch {
		case int64(len(body)+n) > l.MaxBytes:
			return nil, &TooLongError{l.MaxBytes}
		case full && n > 0:
			size = min(2*int64(cap(body)), l.MaxBytes+1)
			if l.Length >= 0 {
				size = min(size, l.Length+1)
			}
			// A body may exceed its announced length.
			size = max(size, int64(cap(body))+1)
			if err := grow(size); err != nil {
				return nil, err
			}
			body = append(append(make([]byte, 0, size), body...), next[0])
		default:
			body = body[:len(body)+n]
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}
