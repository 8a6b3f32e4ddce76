// Package explainer follows a request through the logs of all hosts.
//
// It reads structured log lines, also behind a prefix such as a host's name,
// keeps those that carry the request's ID, and adds what the same host logged
// about its own state shortly before the request and while it ran: the
// configuration and the list of upstreams in force, the leader, its start and
// its end.
//
// # Usage
//
//	story, err := explainer.Read(id, files...)
//	for _, l := range story {
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
	// before is how long before the first line of the request a change of
	// state still counts.
	before = 5 * time.Second
	// maxLine bounds one line, in bytes.
	maxLine = 1 << 20
)

type (
	// Line is one line of a story.
	Line struct {
		At   time.Time
		Host string
		// Message says what was decided, Fields why.
		Message string
		Fields  []Field
		// Own is set in lines about the request itself.
		Own bool
	}

	// Field is an input of a decision.
	Field struct{ Name, Value string }

	// NotFoundError says that no line carries the ID.
	NotFoundError struct {
		ID    string
		Lines int
	}
)

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("none of the %d log lines carries the request ID %q; read the logs of all entries of that time, and look for dropped lines", e.Lines, e.ID)
}

// String implements fmt.Stringer.
func (l Line) String() string {
	var b strings.Builder
	mark := "  "
	if l.Own {
		mark = "> "
	}
	fmt.Fprintf(&b, "%s%s %-24s %s", mark, l.At.Format("15:04:05.000"), l.Host, l.Message)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
	}
	return b.String()
}

// Read returns the story of the request, in order of time. Errors are a
// *NotFoundError or those of the readers.
func Read(id string, logs ...io.Reader) ([]Line, error) {
	var all []Line
	for _, r := range logs {
		scan := bufio.NewScanner(r)
		scan.Buffer(nil, maxLine)
		for scan.Scan() {
			if l, ok := parse(id, scan.Bytes()); ok {
				all = append(all, l)
			}
		}
		if err := scan.Err(); err != nil {
			return nil, errors.Wrap(err, "read a log")
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	story := around(all)
	if len(story) == 0 {
		return nil, &NotFoundError{ID: id, Lines: len(all)}
	}
	return story, nil
}

// around keeps the lines of the request and the changes of state of its hosts
// around them.
func around(all []Line) []Line {
	type span struct{ from, to time.Time }
	hosts := make(map[string]span)
	for _, l := range all {
		if !l.Own {
			continue
		}
		s, ok := hosts[l.Host]
		if !ok {
			s.from = l.At.Add(-before)
		}
		s.to = l.At
		hosts[l.Host] = s
	}
	return slices.DeleteFunc(all, func(l Line) bool {
		s, ok := hosts[l.Host]
		return !ok || l.At.Before(s.from) || l.At.After(s.to)
	})
}

// parse reads one line; ok is false if it is none of a log, or about another
// request.
func parse(id string, b []byte) (l Line, ok bool) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		return l, false
	}
	var fields map[string]any
	if err := json.Unmarshal(b[at:], &fields); err != nil {
		return l, false
	}
	text := func(name string) string {
		s, _ := fields[name].(string)
		delete(fields, name)
		return s
	}
	when, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil {
		return l, false
	}
	l.At, l.Host, l.Message = when, text("host"), text("message")
	request := text("request")
	if request != "" && request != id {
		return l, false
	}
	l.Own = request != ""
	delete(fields, "level")
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		l.Fields = append(l.Fields, Field{Name: name, Value: fmt.Sprint(fields[name])})
	}
	return l, true
}
