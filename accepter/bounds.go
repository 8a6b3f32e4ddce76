package accepter

import (
	"strconv"
	"syscall"
	"time"

	"foxtailwall/allotter"
	"foxtailwall/counter"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

const (
	// requestMemoryFraction is the part of Settings.ProcessMemory for requests and for large
	// responses of upstreams. Collected later, they take up to twice as much.
	requestMemoryFraction = 0.25
	// peerMemoryFraction is the part of Settings.ProcessMemory for messages that a control host
	// receives from other hosts. It is separate, so that no call of operators delays the
	// control group. Other hosts send up to 16 MiB ahead, in messages of 1 MiB.
	peerMemoryFraction = 0.2
	// waitingFraction is the part of the received requests whose responses may wait for
	// memory. The other places are left to requests with small responses.
	waitingFraction = 0.5
	// defaultRequestMemory is each of the two in bytes if there is no memory limit.
	defaultRequestMemory = 256 << 20

	// connMemoryFraction is the part of Settings.ProcessMemory for callers' connections, and
	// connMemory what each takes in bytes: 10 to 20 KiB were measured with short
	// requests.
	connMemoryFraction, connMemory = 0.25, 16 << 10

	// The parts of the descriptors for connections of callers, for requests that were
	// received, each of which has a connection to an upstream, for connections of other
	// hosts or operators, and for those to any further port. The rest is for unused
	// connections to upstreams, as many as for requests, and for files.
	callerConnFraction, requestFraction, hostConnFraction, otherConnFraction = 0.5, 0.15, 0.06, 0.03
	// maxPeerConns bounds the connections of other hosts to a control host, each of which
	// may take 64 KiB more than one of a caller. Each of up to 300 hosts has one.
	maxPeerConns = 512
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
	// Settings bound what all callers of a process together can use. Zero values stand
	// for defaults, which callers within the documented limits do not reach.
	Settings struct {
		// ProcessMemory is the memory limit of the process in bytes; zero means none.
		ProcessMemory int64
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

	// Bounds are the bounds of one process.
	Bounds struct {
		// Memory is for requests and large responses, PeerMemory for messages of other
		// hosts to a control host.
		Memory, PeerMemory *allotter.Memory
		// CallerConns bounds the connections at the port for callers, PeerConns those at
		// the peers' port of a control host, HostConns those of other hosts or operators,
		// and OtherConns those at any further port.
		CallerConns, PeerConns, HostConns, OtherConns int
		// Requests bounds the requests that were received and not answered yet.
		Requests int
		// HeaderFields and WriteTimeout are as in Settings.
		HeaderFields int
		WriteTimeout time.Duration
	}
)

// Check validates the settings. The error is a *validator.SettingError.
func (s *Settings) Check() error {
	switch {
	case s.ProcessMemory < 0:
		return validator.NewSettingError("memory", strconv.FormatInt(s.ProcessMemory, 10), "0 or above")
	case s.Descriptors != 0 && s.Descriptors < minDescriptors:
		return validator.NewSettingError("descriptors", strconv.Itoa(s.Descriptors), "0 or at least "+strconv.Itoa(minDescriptors))
	case s.Connections < 0 || s.Descriptors > 0 && s.Connections >= s.Descriptors:
		return validator.NewSettingError("max-connections", strconv.Itoa(s.Connections), "from 0 to less than the descriptors")
	case s.Requests < 0 || s.Descriptors > 0 && s.Requests >= s.Descriptors:
		return validator.NewSettingError("max-requests", strconv.Itoa(s.Requests), "from 0 to less than the descriptors")
	case s.RequestMemory != 0 && s.RequestMemory < minRequestMemory:
		return validator.NewSettingError("request-memory", strconv.FormatInt(s.RequestMemory, 10), "0 or at least "+strconv.Itoa(minRequestMemory)+" bytes")
	case s.HeaderFields != 0 && s.HeaderFields < minHeaderFields:
		return validator.NewSettingError("max-header-fields", strconv.Itoa(s.HeaderFields), "0 or at least "+strconv.Itoa(minHeaderFields))
	case s.WriteTimeout < 0:
		return validator.NewSettingError("write-timeout", s.WriteTimeout.String(), "0 or above")
	}
	return nil
}

// Bounds returns the bounds that follow from the settings.
func (s *Settings) Bounds() Bounds {
	descriptors := s.Descriptors
	if own := ownDescriptors(); descriptors == 0 || own < descriptors {
		descriptors = own
	}
	part := func(fraction float64) int { return max(int(fraction*float64(descriptors)), minConns) }
	b := Bounds{
		Memory:      &allotter.Memory{Total: defaultRequestMemory},
		PeerMemory:  &allotter.Memory{Total: defaultRequestMemory},
		CallerConns: part(callerConnFraction), HostConns: part(hostConnFraction), OtherConns: part(otherConnFraction),
		Requests: part(requestFraction), HeaderFields: s.HeaderFields, WriteTimeout: positiveOr(s.WriteTimeout, DefaultWriteTimeout),
	}
	if s.ProcessMemory > 0 {
		b.Memory.Total = int64(requestMemoryFraction * float64(s.ProcessMemory))
		b.PeerMemory.Total = int64(peerMemoryFraction * float64(s.ProcessMemory))
		b.CallerConns = min(b.CallerConns, max(int(connMemoryFraction*float64(s.ProcessMemory)/connMemory), minConns))
	}
	if s.RequestMemory > 0 {
		b.Memory.Total = s.RequestMemory
	}
	b.CallerConns = positiveOr(s.Connections, b.CallerConns)
	b.PeerConns = min(b.CallerConns, maxPeerConns)
	b.Requests = positiveOr(s.Requests, b.Requests)
	b.Memory.MaxWaiting = max(int(waitingFraction*float64(b.Requests)), 1)
	return b
}

// ownDescriptors returns the number of descriptors that the system allows the process.
func ownDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors // It fails only where there is no such limit.
	}
	return int(min(limit.Cur, maxDescriptors))
}

// Limits returns the limits of a server with that many connections.
func (b *Bounds) Limits(maxConns int, clock timekeeper.Clock, scope counter.Scope) Limits {
	return Limits{
		MaxConns: maxConns, MaxFields: b.HeaderFields, WriteTimeout: b.WriteTimeout, Memory: b.Memory, Clock: clock, Scope: scope,
	}
}
