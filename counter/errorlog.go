package counter

import (
	"log" //nolint:depguard // http.Server.ErrorLog requires a *log.Logger.

	"github.com/uber-go/tally/v4"
)

// lineCounter is a writer that counts the lines written to it and drops them.
type lineCounter struct{ lines tally.Counter }

// ErrorLog returns a logger for http.Server that counts the lines in the
// counter with the name and drops them. They report errors of individual
// connections, such as failed handshakes, rather than state changes of the
// host.
func (s Scope) ErrorLog(name string) *log.Logger {
	return log.New(lineCounter{s.Counter(name)}, "", 0)
}

// Write implements io.Writer.
func (c lineCounter) Write(b []byte) (int, error) {
	c.lines.Inc(1)
	return len(b), nil
}
