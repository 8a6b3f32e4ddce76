// Package allotter divides the memory for large responses among the requests that
// read one.
//
// An upstream in trouble may send bytes without end. A limit for each response does
// not bound them all together, and a common limit alone would let those without end
// take the memory of the others. So each request that reads a large response gets at
// most its equal share of the memory; responses up to FreeBytes, which nearly all
// are, need none.
//
// # Usage
//
//	memory := &allotter.Memory{Total: 64 << 20}
//	share := memory.NewShare()
//	defer share.Release()
//	body, err := share.ReadAll(resp, allotter.Limits{Length: resp.Length, MaxBytes: 16 << 20})
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
	// Memory is the memory for large responses. Its zero value is ready to use. It is
	// safe for use by several goroutines.
	Memory struct {
		// Total is in bytes; zero means 64 MiB.
		Total int64

		mu      sync.Mutex
		used    int64
		holders int64
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
	total, holders := m.Total, m.holders
	if total <= 0 {
		total = defaultTotal
	}
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
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			size = min(2*int64(cap(body)), l.MaxBytes+1)
			if !s.Grow(l.Held + size) {
				return nil, &ExhaustedError{l.Held + size}
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		case int64(len(body)) > l.MaxBytes:
			return nil, &TooLongError{l.MaxBytes}
		}
	}
}
