// Package matcher finds the route and the workspace of a request by its host,
// its path and its key.
//
// A Config is what an operator declares under a version of their own. Check
// lists its faults, and New compiles it into a Table, which does not change and
// may be shared.
//
// # Usage
//
//	if faults := matcher.Check(conf); len(faults) > 0 {
//		// Refuse the configuration whole.
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
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by events with increasing IDs.
	Stream
)

type (
	// Kind says how often a request may run and how it is answered.
	Kind uint8

	// Config is a complete configuration.
	Config struct {
		// Version is chosen by the author; the highest is in force.
		Version  uint64
		Routes   []Route
		Services []Service
		Limits   Limits
		// Workspaces is empty where requests need no key.
		Workspaces []Workspace
	}

	// Route sends requests to the upstreams of services.
	Route struct {
		Name string
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   Kind
		// Timeout is the longest time until the final answer.
		Timeout time.Duration
		// Target is the time until the answer, in streams until the first
		// event, within which it is worth most.
		Target time.Duration
		// MaxPause is the longest pause between events of a stream that is on
		// time.
		MaxPause time.Duration
		// Priority is the rank of the request; 0 is the highest.
		Priority int
		// Splits has one element or more.
		Splits []Split
		// MaxAttempts is the number of upstreams that a request may be sent
		// to.
		MaxAttempts int
		// Open routes need no key.
		Open bool
		// Resumable streams may be continued at another upstream.
		Resumable bool
		// Sizes lists the models that may answer, the smallest first. It is
		// empty where the caller names the model.
		Sizes []string
	}

	// Split is a part of a route's traffic.
	Split struct {
		Service string
		Weight  int
	}

	// Service is a set of upstreams that answer the same requests.
	Service struct {
		Name string
		// MaxConns is the number of connections that an upstream accepts from
		// all hosts together.
		MaxConns int
		// Engine is nil for plain services.
		Engine *Engine
	}

	// Engine describes the model engines of a service.
	Engine struct {
		Slots int
		// MemoryTokens is the number of tokens an engine's memory holds.
		MemoryTokens int
		Models       []Model
	}

	// Model is a model that the engines of a service run.
	Model struct {
		Name string
		// Cost is the price of 1,000 generated tokens.
		Cost float64
	}

	// Limits bound what a caller may send. Zero means no bound of its own.
	Limits struct {
		HeaderBytes int
		BodyBytes   int64
	}

	// Workspace is a customer with its keys.
	Workspace struct {
		Name string
		Keys []string
		// Priority replaces that of the route where it is not nil.
		Priority *int
	}

	// Table is a compiled Config. Make it with New.
	Table struct {
		config     Config
		routes     map[string]map[string]*Route
		services   map[string]*Service
		workspaces map[string]*Workspace
	}

	// FaultError is a reason why a configuration is refused.
	FaultError struct {
		// Where names the part of the configuration.
		Where  string
		Reason string
	}
)

// Error implements error.
func (f FaultError) Error() string { return f.Where + ": " + f.Reason }

// Check returns the faults of c, none if it is valid.
func Check(c Config) []FaultError {
	var faults []FaultError
	fault := func(where, format string, args ...any) {
		faults = append(faults, FaultError{Where: where, Reason: fmt.Sprintf(format, args...)})
	}
	if c.Version == 0 {
		fault("version", "must be at least 1")
	}
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			fault("services", "the name %q is empty or stands twice", s.Name)
		}
		services[s.Name] = true
	}
	seen := make(map[[2]string]string, len(c.Routes))
	for _, r := range c.Routes {
		place := [2]string{r.Host, r.Prefix}
		if other, ok := seen[place]; ok {
			fault("route "+r.Name, "has the host and prefix of route %s", other)
		}
		seen[place] = r.Name
		for _, reason := range checkRoute(r, services) {
			fault("route "+r.Name, "%s", reason)
		}
	}
	owners := make(map[string]string)
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			if other, ok := owners[k]; ok && other != w.Name {
				fault("workspace "+w.Name, "shares a key with workspace %s", other)
			}
			owners[k] = w.Name
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
	weights := 0
	for _, s := range r.Splits {
		if !services[s.Service] {
			reasons = append(reasons, fmt.Sprintf("the service %q does not exist", s.Service))
		}
		if s.Weight < 0 {
			reasons = append(reasons, "a weight is below 0")
		}
		weights += s.Weight
	}
	if weights <= 0 {
		reasons = append(reasons, "the weights must add up to more than 0")
	}
	return reasons
}

// New compiles c, which must have no faults.
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

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Keyed reports whether requests need a key.
func (t *Table) Keyed() bool { return len(t.config.Workspaces) > 0 }

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

// Service returns the service with the name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Workspace returns the workspace that holds the key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// Split returns the service for a request; the same draw gives the same
// service. The weights need not add up to any particular sum.
func (r *Route) Split(draw uint64) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	sum := 0
	for _, s := range r.Splits {
		sum += s.Weight
	}
	at := int(draw % uint64(sum))
	for _, s := range r.Splits {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}
