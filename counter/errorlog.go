package counter

import (
	"log" //nolint:depguard // http.Server takes no other logger.

	"github.com/uber-go/tally/v4"
)

// lineCounter counts the lines written to it and drops them.
type lineCounter struct{ lines tally.Counter }

// ErrorLog returns a logger for http.Server that counts its lines under the
// name. Such lines tell of single connections, for instance of failed
// handshakes, which are no changes of state.
func (s Scope) ErrorLog(name string) *log.Logger {
	return log.New(lineCounter{s.Counter(name)}, "", 0)
}

// Write implements io.Writer.
func (c lineCounter) Write(b []byte) (int, error) {
	c.lines.Inc(1)
	return len(b), nil
}
