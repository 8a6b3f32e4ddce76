package encoder

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// EndMarker is the data of the event that marks the end of a complete stream.
	EndMarker = "[DONE]"

	dataPrefix = "data: "
)

var dataField = []byte("data")

type (
	// EventReader reads server-sent events. Lines end in LF or CRLF.
	EventReader struct {
		r     *bufio.Reader
		limit int
		data  []byte
	}

	// EventTooLargeError is returned for an event that exceeds the limit of
	// its reader, in bytes.
	EventTooLargeError struct{ Limit int }
)

// NewEventReader returns a reader that accepts at most limit bytes of data per
// event.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{r: bufio.NewReader(r), limit: limit}
}

// Error implements error.
func (e *EventTooLargeError) Error() string {
	return fmt.Sprintf("event exceeds %d bytes", e.Limit)
}

// Next returns the data of the next event, which is valid until the following
// call. It returns io.EOF if the input ends between two events and
// io.ErrUnexpectedEOF if it ends within one.
func (r *EventReader) Next() ([]byte, error) {
	r.data = r.data[:0]
	started := false
	for {
		line, err := r.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && (started || len(line) > 0) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if started {
				return r.data[:len(r.data)-1], nil
			}
			continue
		}
		value, ok := dataValue(line)
		if !ok {
			continue // Routing does not need comments and other fields.
		}
		if len(r.data)+len(value) > r.limit {
			return nil, &EventTooLargeError{Limit: r.limit}
		}
		started = true
		r.data = append(append(r.data, value...), '\n')
	}
}

// readLine returns the next line without its line ending. At the end of the
// input it returns the incomplete last line and io.EOF.
func (r *EventReader) readLine() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			if len(long) > r.limit {
				return nil, &EventTooLargeError{Limit: r.limit}
			}
			line, err = r.r.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return line, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// dataValue returns the value of a data line; it returns false for other lines.
func dataValue(line []byte) ([]byte, bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !bytes.Equal(name, dataField) {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

// AppendEvent appends an event with the given data to dst. Each line of the
// data becomes a data line of the event, as the format requires; a lone CR also
// counts as a line break.
func AppendEvent(dst, data []byte) []byte {
	for {
		i := bytes.IndexAny(data, "\r\n")
		if i < 0 {
			dst = append(append(dst, dataPrefix...), data...)
			return append(dst, "\n\n"...)
		}
		dst = append(append(dst, dataPrefix...), data[:i]...)
		dst = append(dst, '\n')
		if data[i] == '\r' && i+1 < len(data) && data[i+1] == '\n' {
			i++
		}
		data = data[i+1:]
	}
}
