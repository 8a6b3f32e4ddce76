// Package allotter divides the memory for requests and for large responses among the
// requests that hold them.
//
// An upstream in trouble may send bytes without end. A limit for each response does
// not bound them all together, and a common limit alone would let those without end
// take the memory of the others. So each request that reads a large response gets at
// most its equal share of the memory; responses up to FreeBytes, which nearly all
// are, need none.
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
//	body, err := share.ReadAll(resp, allotter.Limits{Length: resp.Length, MaxBytes: 16 << 20})
//
//	upload := memory.NewUpload(allotter.Holder{Address: addr}, cancelRead)
//	defer upload.Release()
//	body, err := upload.ReadAll(r.Body, allotter.Limits{Length: r.ContentLength, MaxBytes: 4 << 20})
package allotter

import (
	"fmt"
	"io"
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
)

type (
	// Memory is the memory for requests and large responses. Its zero value is ready to
	// use. It is safe for use by several goroutines.
	Memory struct {
		// Total is in bytes; zero means 64 MiB. It must not change while the memory is
		// in use.
		Total int64

		mu sync.Mutex
		// used is what all requests hold, uploaded the part of it for uploads.
		used, uploaded int64
		// holders is the number of shares that hold memory.
		holders int64

		uploads map[*Upload]struct{}
		// byHolder is what the uploads of each holder hold.
		byHolder map[Holder]int64
		// nextUpload is the number of the newest upload.
		nextUpload uint64
		// released is closed when an upload releases memory or is cancelled; nil if no
		// upload waits for that.
		released chan struct{}
	}

	// Share is the part of the memory that one request holds. It is used by one
	// goroutine.
	Share struct {
		memory *Memory
		bytes  int64
	}

	// Limits are the limits of one body.
	Limits struct {
		// Length is the announced length, negative if there is none.
		Length int64
		// MaxBytes is the largest body that is accepted.
		MaxBytes int64
		// Held is the size of other bodies that the request keeps.
		Held int64
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
	if bytes <= max(FreeBytes, s.bytes) {
		return true
	}
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	total, holders := m.total(), m.holders
	if s.bytes == 0 {
		holders++
	}
	if bytes > total/holders || m.used+bytes-s.bytes > total {
		return false
	}
	m.used += bytes - s.bytes
	m.holders, s.bytes = holders, bytes
	return true
}

// Release returns the whole share.
func (s *Share) Release() {
	if s.bytes == 0 {
		return
	}
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= s.bytes
	m.holders--
	s.bytes = 0
}

func (m *Memory) total() int64 {
	if m.Total > 0 {
		return m.Total
	}
	return defaultTotal
}

// ReadAll reads r to its end. Memory grows with what has arrived, not with the
// announced length. Errors are a *TooLongError, an *ExhaustedError or that of r.
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
		if !s.Grow(l.Held + bytes) {
			return &ExhaustedError{l.Held + bytes}
		}
		return nil
	})
}

// readAll reads r to its end into a slice that has the given size at first. The slice
// grows only if grow, which gets its new size, returns no error.
func readAll(r io.Reader, l Limits, size int64, grow func(bytes int64) error) ([]byte, error) {
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			size = min(2*int64(cap(body)), l.MaxBytes+1)
			if l.Length >= 0 {
				size = min(size, l.Length+1)
			}
			// A body may exceed its announced length.
			size = max(size, int64(cap(body))+1)
			if err := grow(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > l.MaxBytes:
			return nil, &TooLongError{l.MaxBytes}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}
