// Package matcher finds the route of a request by its host and path, and its
// workspace by its API key.
//
// A Config is declared by an operator, who also chooses its version. Check
// validates it, and New compiles it into an immutable Table, which is safe for
// concurrent use.
//
// # Usage
//
//	if faults := matcher.Check(conf); len(faults) > 0 {
//		// Refuse the whole configuration.
//	}
//	t := matcher.New(conf)
//	route, ok := t.Route("shop.example", "/proofs/17")
//	workspace, ok := t.Workspace(key)
package matcher

import (
	"fmt"
	"strings"
	"time"
)

// Kinds of requests.
const (
	// NonIdempotent requests must run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with a stream of events with increasing IDs.
	Stream
)

type (
	// Kind says whether a request may run more than once and whether its response
	// is a stream.
	Kind uint8

	// Config is a complete configuration.
	Config struct {
		// Version is chosen by the operator; the highest version is active.
		Version  uint64
		Routes   []Route
		Services []Service
		Limits   Limits
		// Workspaces is empty if requests need no API key.
		Workspaces []Workspace
	}

	// Route maps requests by host and path prefix to services.
	Route struct {
		Name string
		Host string
		// Prefix is the path prefix. It begins and ends with a slash.
		Prefix string
		Kind   Kind
		// Timeout bounds the time to the complete response.
		Timeout time.Duration
		// Target is the target latency: the time to the response, or in streams to
		// the first event, within which the response is worth most.
		Target time.Duration
		// MaxPause is the longest pause between the events of a stream that is on
		// time.
		MaxPause time.Duration
		// Priority orders requests at engines; 0 is the highest.
		Priority int
		// Splits divides the traffic among services. It has at least one element.
		Splits []Split
		// MaxAttempts bounds the attempts of a request that reach an upstream.
		MaxAttempts int
		// Open routes allow requests without an API key.
		Open bool
		// Resumable streams may be continued at another upstream.
		Resumable bool
		// Sizes lists the models among which the router may choose, smallest first.
		// It is empty if the caller names the model.
		Sizes []string
	}

	// Split is a service's share of a route's traffic.
	Split struct {
		Service string
		Weight  int
	}

	// Service is a group of interchangeable upstreams.
	Service struct {
		Name string
		// HealthPath is the path of the upstreams' health check; empty for none.
		HealthPath string
		// MaxConns is the number of connections that an upstream accepts from
		// all hosts together.
		MaxConns int
		// ColdStart is how long an upstream is cold after its start, and ColdRate the
		// number of requests per second that it then tolerates from all hosts together.
		// Upstreams of a service with a ColdRate of zero are never cold.
		ColdStart time.Duration
		ColdRate  float64
		// Engine is nil for services without model engines.
		Engine *Engine
	}

	// Engine describes the model engines of a service.
	Engine struct {
		Slots int
		// MemoryTokens is the number of tokens that fit an engine's memory.
		MemoryTokens int
		Models       []Model
	}

	// Model is a model that the engines of a service run.
	Model struct {
		Name string
		// Cost is the price of 1,000 generated tokens.
		Cost float64
	}

	// Limits bounds the size of callers' requests. Zero means that Config sets no
	// bound.
	Limits struct {
		HeaderBytes int
		BodyBytes   int64
	}

	// Workspace is a customer with its API keys.
	Workspace struct {
		Name string
		Keys []string
		// Priority overrides that of the route if it is not nil.
		Priority *int
	}

	// Table is a compiled Config. Create it with New.
	Table struct {
		config     Config
		routes     map[string]map[string]*Route
		services   map[string]*Service
		workspaces map[string]*Workspace
	}

	// FaultError is a reason to refuse a configuration.
	FaultError struct {
		// Where names the faulty part of the configuration.
		Where  string
		Reason string
	}
)

// Error implements error.
func (f FaultError) Error() string { return f.Where + ": " + f.Reason }

// Check returns the faults of c, nil if it is valid.
func Check(c Config) []FaultError {
	var faults []FaultError
	addFault := func(where, format string, args ...any) {
		faults = append(faults, FaultError{Where: where, Reason: fmt.Sprintf(format, args...)})
	}
	if c.Version == 0 {
		addFault("version", "must be at least 1")
	}
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			addFault("services", "the name %q is empty or used more than once", s.Name)
		}
		services[s.Name] = true
	}
	routeNames := make(map[[2]string]string, len(c.Routes))
	for _, r := range c.Routes {
		prefixKey := [2]string{r.Host, r.Prefix}
		if other, ok := routeNames[prefixKey]; ok {
			addFault("route "+r.Name, "has the same host and prefix as route %s", other)
		}
		routeNames[prefixKey] = r.Name
		for _, reason := range checkRoute(r, services) {
			addFault("route "+r.Name, "%s", reason)
		}
	}
	keyOwners := make(map[string]string)
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			if other, ok := keyOwners[k]; ok && other != w.Name {
				addFault("workspace "+w.Name, "shares a key with workspace %s", other)
			}
			keyOwners[k] = w.Name
		}
	}
	return faults
}

func checkRoute(r Route, services map[string]bool) []string {
	var reasons []string
	if r.Timeout <= 0 {
		reasons = append(reasons, "the timeout must be above 0")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		reasons = append(reasons, fmt.Sprintf("the prefix %q must begin and end with a slash", r.Prefix))
	}
	totalWeight := 0
	for _, s := range r.Splits {
		if !services[s.Service] {
			reasons = append(reasons, fmt.Sprintf("the service %q does not exist", s.Service))
		}
		if s.Weight < 0 {
			reasons = append(reasons, "a split has a negative weight")
		}
		totalWeight += s.Weight
	}
	if totalWeight <= 0 {
		reasons = append(reasons, "the weights must add up to more than 0")
	}
	return reasons
}

// New compiles c, for which Check must report no faults.
func New(c Config) *Table {
	t := &Table{
		config:     c,
		routes:     make(map[string]map[string]*Route),
		services:   make(map[string]*Service, len(c.Services)),
		workspaces: make(map[string]*Workspace),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		byPrefix := t.routes[r.Host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Route)
			t.routes[r.Host] = byPrefix
		}
		byPrefix[r.Prefix] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			t.workspaces[k] = &c.Workspaces[i]
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.config.Limits }

// RequiresKey reports whether requests need an API key, except on open routes.
func (t *Table) RequiresKey() bool { return len(t.config.Workspaces) > 0 }

// Route returns the route of the host with the longest prefix of path.
func (t *Table) Route(host, path string) (*Route, bool) {
	byPrefix := t.routes[host]
	if byPrefix == nil {
		return nil, false
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r, ok := byPrefix[path[:i+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Services returns all services. The caller must not modify them.
func (t *Table) Services() []Service { return t.config.Services }

// Service returns the service with the name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Workspace returns the workspace that owns the API key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// PickService maps a hash to a service in proportion to the weights of the
// splits, whatever their sum. The same hash always gives the same service.
func (r *Route) PickService(hash uint64) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	totalWeight := 0
	for _, s := range r.Splits {
		totalWeight += s.Weight
	}
	offset := int(hash % uint64(totalWeight))
	for _, s := range r.Splits {
		if offset -= s.Weight; offset < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}
