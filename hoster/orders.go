package hoster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/controller"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/orderer"
	"foxtailwall/timekeeper"
)

const (
	// orderTick is the time between two looks at what engines should hold.
	orderTick = time.Second
	// ownerLease is how long an owner of the engines may give orders without
	// renewing.
	ownerLease = 8 * time.Second
	// orderTimeout bounds one call of an engine.
	orderTimeout = 2 * time.Second
	// orderCalls bounds the calls under way.
	orderCalls = 8
	// allEngines names the ownership of all engines in the log.
	allEngines = "engines"
	// maxOrderBody bounds an engine's answer, in bytes.
	maxOrderBody = 1 << 20

	stateLoaded    = "ready"
	stateLoading   = "loading"
	stateUnloading = "unloading"
)

type (
	// commander makes the engines hold the versions that the configuration
	// declares for them, while this host leads the control group.
	commander struct {
		name    string
		view    func() declarer.View
		leading func() (uint64, bool)
		propose func(context.Context, controller.Item) (controller.Answer, error)
		client  *http.Client
		scheme  string
		clock   timekeeper.Clock
		scope   counter.Scope
		log     zerolog.Logger
		orders  *orderer.Orderer
		token   uint64
		planned uint64
	}

	// engineState is an engine's answer to GET /orders.
	engineState struct {
		Incarnation uint64 `json:"incarnation"`
		Fence       uint64 `json:"fence"`
		Loads       []struct {
			Model   string `json:"model"`
			Version string `json:"version"`
			State   string `json:"state"`
		} `json:"loads"`
	}

	// engineOrder is the body of POST /orders.
	engineOrder struct {
		Fence uint64 `json:"fence"`
		// Deadline is the number of milliseconds left.
		Deadline int64  `json:"deadline"`
		Action   string `json:"action"`
		Model    string `json:"model"`
		Version  string `json:"version"`
	}
)

func (h *Host) newCommander(c *control) *commander {
	return &commander{
		name: h.set.Name, view: c.machine.View, leading: c.group.Leading,
		propose: func(ctx context.Context, it controller.Item) (controller.Answer, error) { return h.client.Do(ctx, it) },
		client:  h.reportClient(), scheme: h.upstreamScheme(), clock: h.clock, scope: h.scope, log: h.log,
		orders: orderer.New(orderer.Settings{Clock: h.clock, Lease: ownerLease}),
	}
}

// run gives orders until ctx ends.
func (c *commander) run(ctx context.Context) error {
	for {
		if err := timekeeper.Sleep(ctx, c.clock, orderTick); err != nil {
			return err
		}
		if _, ok := c.leading(); ok && c.own(ctx) {
			c.plan()
			c.read(ctx)
			c.send(ctx)
		}
	}
}

// own takes or renews the ownership of the engines. The lease counts from
// before the request, so that it ends here before it ends in the log.
func (c *commander) own(ctx context.Context) bool {
	sent := c.clock.Now()
	a, err := c.propose(ctx, controller.Item{Own: &controller.Own{Engine: allEngines, Owner: c.name, Lease: ownerLease}})
	if err != nil || a.Own == nil || !a.Own.Granted {
		return c.orders.Owns()
	}
	end := sent.Add(ownerLease)
	if a.Own.Token == c.token {
		c.orders.Renew(c.token, end)
		return true
	}
	c.orders.Own(a.Own.Token, end, !a.Own.First)
	c.token = a.Own.Token
	c.log.Info().Uint64("token", c.token).Msg("this host gives orders to engines")
	return true
}

// plan takes over the engines of a new configuration. Each engine is to hold
// just the versions declared for it.
func (c *commander) plan() {
	v := c.view()
	if v.Version == c.planned {
		return
	}
	c.planned = v.Version
	var engines []orderer.Engine
	var wants []orderer.Want
	for _, u := range v.Config.Upstreams {
		if len(u.Serves) == 0 {
			continue
		}
		engines = append(engines, orderer.Engine{
			Address: u.Address, Zone: u.Name, Capacity: len(u.Serves), ChecksFencing: u.ChecksFencing,
		})
		for _, ref := range u.Serves {
			wants = append(wants, orderer.Want{Zone: u.Name, Ref: ref, Engines: 1})
		}
	}
	c.orders.SetEngines(engines)
	c.orders.SetWants(wants)
}

// read asks engines whose state is unknown or old.
func (c *commander) read(ctx context.Context) {
	calls := pool.New().WithMaxGoroutines(orderCalls)
	defer calls.Wait()
	for _, addr := range c.orders.Reads() {
		calls.Go(func() {
			var s engineState
			if _, err := c.call(ctx, addr, http.MethodGet, nil, &s); err != nil {
				c.scope.Counter("orders.readsFailed").Inc(1)
				return
			}
			c.orders.Observe(addr, s.state())
		})
	}
}

// send gives the orders that are due.
func (c *commander) send(ctx context.Context) {
	calls := pool.New().WithMaxGoroutines(orderCalls)
	defer calls.Wait()
	for _, o := range c.orders.Next() {
		calls.Go(func() {
			result := c.give(ctx, o)
			c.orders.Result(o, result)
			c.scope.Counter("orders.sent", "action", string(o.Action)).Inc(1)
			c.log.Info().Stringer("engine", o.Address).Str("action", string(o.Action)).Stringer("version", o.Ref).
				Bool("accepted", result == orderer.Accepted).Msg("order to engine")
		})
	}
}

// give sends one order. The time to send it is over when the lease ends.
func (c *commander) give(ctx context.Context, o orderer.Order) orderer.Result {
	now := c.clock.Now()
	if !now.Before(o.SendBy) {
		return orderer.Refused
	}
	status, err := c.call(ctx, o.Address, http.MethodPost, engineOrder{
		Fence: o.Fence, Deadline: o.Deadline.Sub(now).Milliseconds(),
		Action: string(o.Action), Model: o.Ref.Model, Version: o.Ref.Version,
	}, nil)
	switch {
	case err != nil:
		return orderer.Lost
	case status >= http.StatusMultipleChoices:
		return orderer.Refused
	}
	return orderer.Accepted
}

// call exchanges JSON with an engine's order path and returns the status.
func (c *commander) call(ctx context.Context, addr netip.AddrPort, method string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, errors.Wrap(err, "encode an order")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+addr.String()+"/orders", body)
	if err != nil {
		return 0, errors.Wrap(err, "make an order")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, errors.Wrapf(err, "send an order to %s", addr)
	}
	defer resp.Body.Close()
	if out == nil || resp.StatusCode >= http.StatusMultipleChoices {
		return resp.StatusCode, nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxOrderBody)).Decode(out)
	return resp.StatusCode, errors.Wrapf(err, "decode the state of engine %s", addr)
}

func (s engineState) state() orderer.State {
	out := orderer.State{Incarnation: s.Incarnation, Fence: s.Fence}
	for _, l := range s.Loads {
		ref := declarer.VersionRef{Model: l.Model, Version: l.Version}
		switch l.State {
		case stateLoaded:
			out.Loaded = append(out.Loaded, ref)
		case stateLoading:
			out.Loading = append(out.Loading, ref)
		case stateUnloading:
			out.Unloading = append(out.Unloading, ref)
		}
	}
	return out
}
