// Package explainer extracts the log lines that explain one request from the
// logs of all hosts.
//
// It reads structured log lines, which may follow a prefix such as a host's
// name, and keeps those with the request's ID. It adds the lines without a
// request ID that the same hosts logged shortly before the request and while it
// ran, such as changes of the configuration, the list of upstreams or the
// leader, and the start and stop of the host.
//
// # Usage
//
//	lines, err := explainer.Read(id, files...)
//	for _, l := range lines {
//		fmt.Println(l)
//	}
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// leadTime is how long before the first line of the request the lines of
	// its hosts are included.
	leadTime = 5 * time.Second
	// maxLineBytes is the maximum length of a log line, in bytes.
	maxLineBytes = 1 << 20
)

type (
	// Line is a log line that explains the request.
	Line struct {
		At   time.Time
		Host string
		// Message states an event or decision, Fields its details, sorted by
		// name.
		Message string
		Fields  []Field
		// OfRequest is set if the line has the ID of the request.
		OfRequest bool
	}

	// Field is a field of a log line.
	Field struct{ Name, Value string }

	// NotFoundError reports that no line has the request ID.
	NotFoundError struct {
		ID string
		// Lines is the number of log lines read, without those of other
		// requests.
		Lines int
	}
)

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("none of the %d log lines has the request ID %q; include the logs of all entries of that time, and check for dropped lines", e.Lines, e.ID)
}

// String implements fmt.Stringer. It marks lines of the request itself with
// ">".
func (l Line) String() string {
	var b strings.Builder
	mark := "  "
	if l.OfRequest {
		mark = "> "
	}
	fmt.Fprintf(&b, "%s%s %-24s %s", mark, l.At.Format("15:04:05.000"), l.Host, l.Message)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
	}
	return b.String()
}

// Read returns the lines that explain the request, sorted by time. It returns a
// *NotFoundError or an error of a reader.
func Read(id string, logs ...io.Reader) ([]Line, error) {
	var all []Line
	for _, r := range logs {
		scan := bufio.NewScanner(r)
		scan.Buffer(nil, maxLineBytes)
		for scan.Scan() {
			if l, ok := parseLine(id, scan.Bytes()); ok {
				all = append(all, l)
			}
		}
		if err := scan.Err(); err != nil {
			return nil, errors.Wrap(err, "read a log")
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	lines := requestContext(all)
	if len(lines) == 0 {
		return nil, &NotFoundError{ID: id, Lines: len(all)}
	}
	return lines, nil
}

// requestContext keeps the lines of the hosts that logged the request, from
// shortly before the host's first line about it until the last one.
func requestContext(all []Line) []Line {
	type span struct{ from, to time.Time }
	hosts := make(map[string]span)
	for _, l := range all {
		if !l.OfRequest {
			continue
		}
		s, ok := hosts[l.Host]
		if !ok {
			s.from = l.At.Add(-leadTime)
		}
		s.to = l.At
		hosts[l.Host] = s
	}
	return slices.DeleteFunc(all, func(l Line) bool {
		s, ok := hosts[l.Host]
		return !ok || l.At.Before(s.from) || l.At.After(s.to)
	})
}

// parseLine decodes a line; ok is false if it is not a structured log line or
// belongs to another request.
func parseLine(id string, b []byte) (l Line, ok bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return l, false
	}
	var fields map[string]any
	if err := json.Unmarshal(b[start:], &fields); err != nil {
		return l, false
	}
	takeString := func(name string) string {
		s, _ := fields[name].(string)
		delete(fields, name)
		return s
	}
	when, err := time.Parse(time.RFC3339Nano, takeString("time"))
	if err != nil {
		return l, false
	}
	l.At, l.Host, l.Message = when, takeString("host"), takeString("message")
	request := takeString("request")
	if request != "" && request != id {
		return l, false
	}
	l.OfRequest = request != ""
	delete(fields, "level")
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		l.Fields = append(l.Fields, Field{Name: name, Value: fmt.Sprint(fields[name])})
	}
	return l, true
}
