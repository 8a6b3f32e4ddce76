package starter

import (
	"math"
	"strconv"
	"syscall"
	"time"

	"foxtailwall/accepter"
	"foxtailwall/allotter"
	"foxtailwall/validator"
)

const (
	// requestMemoryFraction is the part of Settings.Memory for requests and for large
	// responses of upstreams. Collected later, they take up to twice as much.
	requestMemoryFraction = 0.3
	// peerMemoryFraction is the part of Settings.Memory for messages that a control host
	// receives from other hosts. It is separate, so that no call of operators delays the
	// control group. Other hosts send up to 16 MiB ahead, in messages of 1 MiB.
	peerMemoryFraction = 0.2
	// defaultRequestMemory is each of the two in bytes if there is no memory limit.
	defaultRequestMemory = 256 << 20

	// connMemoryFraction is the part of Settings.Memory for callers' connections, and
	// connMemory what each takes in bytes: 10 to 20 KiB were measured with short
	// requests.
	connMemoryFraction, connMemory = 0.25, 16 << 10

	// The parts of the descriptors for connections of callers, for requests that were
	// received, each of which has a connection to an upstream, for connections of other
	// hosts or operators, and for those to any further port. The rest is for unused
	// connections to upstreams, as many as for requests, and for files.
	callerConnFraction, requestFraction, delegatedConnFraction, otherConnFraction = 0.5, 0.15, 0.06, 0.03
	// minConns is the least number of connections of a port.
	minConns = 8
	// maxDescriptors bounds the descriptors for which bounds are computed; a process
	// without a limit has up to 2^30.
	maxDescriptors = 1 << 16
	// minDescriptors is the least number of descriptors with which a host can serve.
	minDescriptors = 64
	// minRequestMemory is the least memory for requests in bytes, with which a body of
	// 256 KiB is received.
	minRequestMemory = 1 << 20
	// minHeaderFields is the least bound on header fields; requests between hosts have
	// more than those of callers.
	minHeaderFields = 64
)

type (
	// Limits bound what all callers together can use. Zero values stand for defaults,
	// which callers within the documented limits do not reach.
	Limits struct {
		// Descriptors is the limit on the descriptors of the process; zero means that of
		// the system for the process.
		Descriptors int
		// Connections bounds the open connections of callers, and Requests those
		// received and not answered.
		Connections, Requests int
		// RequestMemory is the memory in bytes for the headers, bodies and responses of
		// all requests.
		RequestMemory int64
		// HeaderFields bounds the fields of a header.
		HeaderFields int
		// WriteTimeout is the time within which a caller must take 64 KiB of a response.
		WriteTimeout time.Duration
	}

	// bounds are the bounds of one process.
	bounds struct {
		memory, peerMemory *allotter.Memory
		// callerConns, delegatedConns and otherConns bound the connections of a port.
		callerConns, delegatedConns, otherConns int
		requests, fields                        int
		write                                   time.Duration
	}
)

// check validates the limits.
func (l *Limits) check() error {
	switch {
	case l.Descriptors != 0 && l.Descriptors < minDescriptors:
		return validator.NewSettingError("limits.descriptors", strconv.Itoa(l.Descriptors), "0 or at least "+strconv.Itoa(minDescriptors))
	case l.Connections < 0 || l.Descriptors > 0 && l.Connections >= l.Descriptors:
		return validator.NewSettingError("limits.connections", strconv.Itoa(l.Connections), "from 0 to less than the descriptors")
	case l.Requests < 0 || l.Descriptors > 0 && l.Requests >= l.Descriptors:
		return validator.NewSettingError("limits.requests", strconv.Itoa(l.Requests), "from 0 to less than the descriptors")
	case l.RequestMemory != 0 && l.RequestMemory < minRequestMemory:
		return validator.NewSettingError("limits.requestMemory", strconv.FormatInt(l.RequestMemory, 10), "0 or at least "+strconv.Itoa(minRequestMemory)+" bytes")
	case l.HeaderFields != 0 && l.HeaderFields < minHeaderFields:
		return validator.NewSettingError("limits.headerFields", strconv.Itoa(l.HeaderFields), "0 or at least "+strconv.Itoa(minHeaderFields))
	case l.WriteTimeout < 0:
		return validator.NewSettingError("limits.writeTimeout", l.WriteTimeout.String(), "0 or above")
	}
	return nil
}

// bounds returns the bounds that follow from the settings.
func (s *Settings) bounds() bounds {
	l := s.Limits
	descriptors := l.Descriptors
	if own := ownDescriptors(); descriptors == 0 || own < descriptors {
		descriptors = own
	}
	part := func(fraction float64) int { return max(int(fraction*float64(descriptors)), minConns) }
	b := bounds{
		memory:      &allotter.Memory{Total: defaultRequestMemory},
		peerMemory:  &allotter.Memory{Total: defaultRequestMemory},
		callerConns: part(callerConnFraction), delegatedConns: part(delegatedConnFraction), otherConns: part(otherConnFraction),
		requests: part(requestFraction), fields: l.HeaderFields, write: l.WriteTimeout,
	}
	if s.Memory > 0 {
		b.memory.Total = int64(requestMemoryFraction * float64(s.Memory))
		b.peerMemory.Total = int64(peerMemoryFraction * float64(s.Memory))
		b.callerConns = min(b.callerConns, max(int(connMemoryFraction*float64(s.Memory)/connMemory), minConns))
	}
	if l.RequestMemory > 0 {
		b.memory.Total = l.RequestMemory
	}
	if l.Connections > 0 {
		b.callerConns = l.Connections
	}
	if l.Requests > 0 {
		b.requests = l.Requests
	}
	if b.write == 0 {
		b.write = accepter.DefaultWriteTimeout
	}
	return b
}

// ownDescriptors returns the number of descriptors that the system allows the process.
func ownDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors // Linux has the limit; without it, descriptors are not bounded.
	}
	return int(min(limit.Cur, maxDescriptors, math.MaxInt32))
}

// limits returns the limits of a server.
func (b *bounds) limits(maxConns int, o *Options) accepter.Limits {
	return accepter.Limits{
		MaxConns: maxConns, MaxFields: b.fields, WriteTimeout: b.write, Memory: b.memory, Clock: o.Clock, Scope: o.Scope,
	}
}
