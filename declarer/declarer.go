// Package declarer holds the configuration that operators declare: what it
// consists of, how it is built in Go, printed as text, parsed, checked and
// compared.
//
// The text is YAML in one canonical form: lists are sorted by name, every
// declaration names its owner and the reason for it, and printing what was
// parsed gives the same bytes. It is meant to live in version control, where
// each office reads the other's intent from the diff.
//
// # Usage
//
// An office builds its configuration in Go and prints it:
//
//	c := declarer.New("vancouver")
//	c.Model("engraver", "main engraving model", "v1").
//		Version("v1", declarer.Price{InputNanos: 150, OutputNanos: 600}, 0.82)
//	c.Workspace("counter", "lettering suggestions at the counter").
//		Allow("engraver").
//		Member("shop-12", declarer.KeyDigest("secret"))
//	text, err := declarer.Print(c.Config())
//
// A host reads it back:
//
//	conf, err := declarer.Parse(text)
//	if faults := declarer.Check(conf); len(faults) > 0 {
//		return &declarer.InvalidError{Faults: faults}
//	}
package declarer

import (
	"net/netip"
	"time"
)

// Ways a workspace weighs its requests.
const (
	// WeighCost takes the cheapest plan that meets the quality target.
	WeighCost Weigh = "cost"
	// WeighLatency takes the fastest plan that meets the quality target.
	WeighLatency Weigh = "latency"
)

// What the hosts of a cut-off zone do with the stable version of a model.
const (
	// CutOffServe goes on serving the stable version.
	CutOffServe CutOff = "serve"
	// CutOffRefuse stops serving the model when the lease ends.
	CutOffRefuse CutOff = "refuse"
)

// Kinds of model requests. Quality targets and learned pass rates are kept
// for each.
const (
	// KindLong is a request with a long prompt that is answered whole.
	KindLong Kind = "long"
	// KindShort is a request with a short prompt that is answered whole.
	KindShort Kind = "short"
	// KindChat is a streamed request.
	KindChat Kind = "chat"
)

// AnyModel is the model name of a request that leaves the choice of model to
// the router.
const AnyModel = "auto"

type (
	// Weigh is what a workspace weighs most.
	Weigh string

	// CutOff is the behaviour of a model in a zone whose leases have ended.
	CutOff string

	// Kind is a kind of model request.
	Kind string

	// Config is one whole configuration. Its zero value is valid and allows
	// nothing.
	Config struct {
		Workspaces  []Workspace  `yaml:"workspaces,omitempty" cbor:"workspaces,omitempty"`
		Models      []Model      `yaml:"models,omitempty" cbor:"models,omitempty"`
		Services    []Service    `yaml:"services,omitempty" cbor:"services,omitempty"`
		Upstreams   []Upstream   `yaml:"upstreams,omitempty" cbor:"upstreams,omitempty"`
		Rollouts    []Rollout    `yaml:"rollouts,omitempty" cbor:"rollouts,omitempty"`
		Withdrawals []Withdrawal `yaml:"withdrawals,omitempty" cbor:"withdrawals,omitempty"`
		Retention   Retention    `yaml:"retention,omitempty" cbor:"retention,omitempty"`
	}

	// Intent says which office wants a declaration and why. The office that
	// owns a declaration is the only one that may change or remove it.
	Intent struct {
		Owner string `yaml:"owner" cbor:"owner"`
		Why   string `yaml:"why" cbor:"why"`
	}

	// Workspace is a customer of the deployment.
	Workspace struct {
		Name    string `yaml:"name" cbor:"name"`
		Intent  `yaml:",inline"`
		Weigh   Weigh     `yaml:"weigh,omitempty" cbor:"weigh,omitempty"`
		Members []Member  `yaml:"members,omitempty" cbor:"members,omitempty"`
		Models  []Allowed `yaml:"models,omitempty" cbor:"models,omitempty"`
		// Services lists the plain services the workspace may call.
		Services []string `yaml:"services,omitempty" cbor:"services,omitempty"`
		// Quality is the wanted share of answers that the rating service
		// passes, 0 to 1, by kind.
		Quality map[Kind]float64 `yaml:"quality,omitempty" cbor:"quality,omitempty"`
		// Share is the weight in fair queueing. Zero counts as 1.
		Share int `yaml:"share,omitempty" cbor:"share,omitempty"`
		// Concurrent bounds the requests in flight on one host. Zero means
		// no bound of its own.
		Concurrent int `yaml:"concurrent,omitempty" cbor:"concurrent,omitempty"`
		// Queue bounds the requests waiting on one host. Zero takes the
		// default of the limiter.
		Queue int `yaml:"queue,omitempty" cbor:"queue,omitempty"`
		// Deadline bounds a request that names no deadline. Zero takes the
		// default of the router.
		Deadline time.Duration `yaml:"deadline,omitempty" cbor:"deadline,omitempty"`
		// Explore is the share of requests, 0 to 1, that may try a plan in
		// order to learn its quality.
		Explore float64 `yaml:"explore,omitempty" cbor:"explore,omitempty"`
		// AcceptRepin lets sessions move to another version without asking
		// when theirs is withdrawn.
		AcceptRepin bool `yaml:"acceptRepin,omitempty" cbor:"acceptRepin,omitempty"`
	}

	// Member is a billed part of a workspace.
	Member struct {
		Name string `yaml:"name" cbor:"name"`
		// KeyDigests are SHA-256 digests of API keys, in hexadecimal.
		KeyDigests []string `yaml:"keyDigests,omitempty" cbor:"keyDigests,omitempty"`
	}

	// Allowed names a model that a workspace may use.
	Allowed struct {
		Model string `yaml:"model" cbor:"model"`
		// Versions restricts the versions; empty allows all.
		Versions []string `yaml:"versions,omitempty" cbor:"versions,omitempty"`
	}

	// Model is a language model with its versions.
	Model struct {
		Name   string `yaml:"name" cbor:"name"`
		Intent `yaml:",inline"`
		// Stable names the version that is used outside rollouts.
		Stable   string    `yaml:"stable" cbor:"stable"`
		Versions []Version `yaml:"versions" cbor:"versions"`
		CutOff   CutOff    `yaml:"cutOff,omitempty" cbor:"cutOff,omitempty"`
	}

	// Version is one version of a model.
	Version struct {
		Name  string `yaml:"name" cbor:"name"`
		Price Price  `yaml:"price" cbor:"price"`
		// Quality is the expected share of answers that the rating service
		// passes, 0 to 1; the prior for what is learned.
		Quality float64 `yaml:"quality" cbor:"quality"`
	}

	// Price is in nanos (1e-9) of the deployment's currency for one token.
	Price struct {
		InputNanos  int64 `yaml:"inputNanos" cbor:"inputNanos"`
		OutputNanos int64 `yaml:"outputNanos" cbor:"outputNanos"`
	}

	// Service is a plain HTTP service.
	Service struct {
		Name   string `yaml:"name" cbor:"name"`
		Intent `yaml:",inline"`
		Calls  []Call `yaml:"calls" cbor:"calls"`
		// PriceNanos is billed for each call, in nanos of the currency.
		PriceNanos int64 `yaml:"priceNanos,omitempty" cbor:"priceNanos,omitempty"`
	}

	// Call is one kind of call of a service.
	Call struct {
		Method string `yaml:"method" cbor:"method"`
		// Path is the prefix of the request path below the service.
		Path string `yaml:"path" cbor:"path"`
		// Idempotent says that the call may be repeated.
		Idempotent bool          `yaml:"idempotent" cbor:"idempotent"`
		Timeout    time.Duration `yaml:"timeout,omitempty" cbor:"timeout,omitempty"`
	}

	// Upstream is one replica of a model engine or of a plain service.
	Upstream struct {
		Name    string `yaml:"name" cbor:"name"`
		Intent  `yaml:",inline"`
		Zone    string         `yaml:"zone" cbor:"zone"`
		Address netip.AddrPort `yaml:"address" cbor:"address"`
		// Serves lists the versions an engine has loaded at the start.
		Serves []VersionRef `yaml:"serves,omitempty" cbor:"serves,omitempty"`
		// Service names the plain service of the replica.
		Service string `yaml:"service,omitempty" cbor:"service,omitempty"`
		// Slots is the number of requests the replica batches.
		Slots int `yaml:"slots,omitempty" cbor:"slots,omitempty"`
		// ChecksFencing says that the engine refuses orders with an old
		// fencing number.
		ChecksFencing bool `yaml:"checksFencing,omitempty" cbor:"checksFencing,omitempty"`
		// Resumes says that the engine can resume a cut stream.
		Resumes bool `yaml:"resumes,omitempty" cbor:"resumes,omitempty"`
	}

	// VersionRef names a version of a model.
	VersionRef struct {
		Model   string `yaml:"model" cbor:"model"`
		Version string `yaml:"version" cbor:"version"`
	}

	// Rollout moves the sessions of a model to another version by stages.
	Rollout struct {
		Model   string `yaml:"model" cbor:"model"`
		Version string `yaml:"version" cbor:"version"`
		Intent  `yaml:",inline"`
		Stages  []Stage `yaml:"stages,omitempty" cbor:"stages,omitempty"`
		Guard   Guard   `yaml:"guard,omitempty" cbor:"guard,omitempty"`
	}

	// Stage is one step of a rollout.
	Stage struct {
		// Share is the share of sessions, 0 to 1.
		Share float64 `yaml:"share" cbor:"share"`
		// Soak is the time the stage lasts at least.
		Soak time.Duration `yaml:"soak" cbor:"soak"`
		// Budget is the number of requests that may reach the version in
		// this stage before the guard has decided.
		Budget int `yaml:"budget" cbor:"budget"`
	}

	// Guard bounds what a rollout may do to its requests.
	Guard struct {
		// MinQuality is the share of rated answers that must pass, 0 to 1.
		MinQuality float64 `yaml:"minQuality,omitempty" cbor:"minQuality,omitempty"`
		// MaxErrors is the share of requests that may fail, 0 to 1.
		MaxErrors float64 `yaml:"maxErrors,omitempty" cbor:"maxErrors,omitempty"`
		// FirstToken is the time within which 95 in 100 requests must have
		// their first token.
		FirstToken time.Duration `yaml:"firstToken,omitempty" cbor:"firstToken,omitempty"`
	}

	// Withdrawal takes a version out of use.
	Withdrawal struct {
		Model   string `yaml:"model" cbor:"model"`
		Version string `yaml:"version" cbor:"version"`
		Intent  `yaml:",inline"`
	}

	// Retention says how long the control group keeps its records.
	Retention struct {
		// Claims is the time for which a used idempotency key is known.
		Claims time.Duration `yaml:"claims,omitempty" cbor:"claims,omitempty"`
		// Pins is the time after its last use for which a pin is known.
		Pins time.Duration `yaml:"pins,omitempty" cbor:"pins,omitempty"`
		// Bills is the time for which single billing records are kept after
		// they were counted into the totals.
		Bills time.Duration `yaml:"bills,omitempty" cbor:"bills,omitempty"`
	}
)

// String returns the form "model/version".
func (v VersionRef) String() string { return v.Model + "/" + v.Version }
