package loader

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"strings"
	"time"

	"foxtailwall/emulator"
)

const (
	// continueShare is the share of chat requests that continue a session.
	continueShare = 0.75
	// tokenShare is the share of sessions that return the signed token; the
	// others send only their own ID.
	tokenShare = 0.5
	// bytesPerToken is the length of a prompt token of the emulator.
	bytesPerToken = 4
)

type (
	// Request is one planned request.
	Request struct {
		Index int
		// At is the intended start after the start of the run.
		At        time.Duration
		Class     *Class
		Workspace *Workspace
		Member    Member
		// Session is empty outside sessions. ByToken says that the session is
		// kept by the signed token.
		Session string
		ByToken bool
		Turn    int
		// Prompt is the prompt, or the body of a booking.
		Prompt    string
		MaxTokens int
		// Digest is the emulator's digest of the prompt or body, unique in a
		// run for everything but reads.
		Digest string
		// Entry is the index of the entry address used first.
		Entry int
	}

	// planner draws requests.
	planner struct {
		conf     *Config
		rng      *rand.Rand
		now      time.Duration
		n        int
		sessions map[*Workspace][]*session
		weights  []float64
		classes  []float64
	}

	session struct {
		id      string
		byToken bool
		left    int
		turn    int
		text    string
	}
)

// Plan yields the requests of a run in order of their start, made one by one.
// The same configuration and seed give the same plan.
func Plan(conf Config) iter.Seq[Request] {
	return func(yield func(Request) bool) {
		if len(conf.Workspaces) == 0 || conf.Rate <= 0 {
			return
		}
		p := newPlanner(conf)
		for conf.Count <= 0 || p.n < conf.Count {
			p.now += time.Duration(p.rng.ExpFloat64() / conf.Rate * float64(time.Second))
			if p.now >= conf.Duration || !yield(p.next()) {
				return
			}
		}
	}
}

func newPlanner(conf Config) *planner {
	p := &planner{conf: &conf, rng: rand.New(rand.NewPCG(conf.Seed, conf.Seed)), sessions: make(map[*Workspace][]*session)}
	for _, w := range conf.Workspaces {
		p.weights = append(p.weights, w.Weight)
	}
	for _, c := range conf.Mix.Classes {
		p.classes = append(p.classes, c.Weight)
	}
	return p
}

func (p *planner) next() Request {
	w := &p.conf.Workspaces[pick(p.rng, p.weights)]
	c := &p.conf.Mix.Classes[pick(p.rng, p.classes)]
	r := Request{Index: p.n, At: p.now, Class: c, Workspace: w}
	p.n++
	if len(w.Members) > 0 {
		r.Member = w.Members[p.rng.IntN(len(w.Members))]
	}
	if n := len(p.conf.Entries); n > 0 {
		r.Entry = p.rng.IntN(n)
	}
	if c.Kind == "" {
		r.Prompt = fmt.Sprintf(`{"run":%d,"slot":%d,"workspace":%q}`, p.conf.Seed, r.Index, w.Name)
		r.Digest = emulator.Digest(r.Prompt)
		return r
	}
	var head string
	if c.Session {
		head = p.turn(&r)
	} else {
		head = p.shared(c, w)
	}
	own := fmt.Sprintf("request %d-%d ", p.conf.Seed, r.Index)
	r.Prompt = head + own + filler(own, c.Prompt.draw(p.rng))
	r.MaxTokens = c.Output.draw(p.rng)
	r.Digest = emulator.Digest(r.Prompt)
	return r
}

// turn makes r a turn of a session and returns what its prompt begins with:
// the text of the turns before it.
func (p *planner) turn(r *Request) string {
	list := p.sessions[r.Workspace]
	var s *session
	if len(list) > 0 && p.rng.Float64() < continueShare {
		s = list[p.rng.IntN(len(list))]
	} else {
		s = &session{
			id:      fmt.Sprintf("session-%d-%d", p.conf.Seed, r.Index),
			byToken: p.rng.Float64() < tokenShare, left: p.conf.Mix.Turns.draw(p.rng),
			text: p.shared(r.Class, r.Workspace),
		}
		list = append(list, s)
	}
	r.Session, r.ByToken, r.Turn = s.id, s.byToken, s.turn
	head := s.text
	s.text += filler(fmt.Sprint(s.id, s.turn), r.Class.Prompt.draw(p.rng))
	s.turn++
	s.left--
	p.sessions[r.Workspace] = list
	if s.left <= 0 {
		p.drop(r.Workspace, s)
	}
	return head
}

func (p *planner) drop(w *Workspace, s *session) {
	list := p.sessions[w][:0]
	for _, o := range p.sessions[w] {
		if o != s {
			list = append(list, o)
		}
	}
	p.sessions[w] = list
}

// shared returns one of the workspace's documents for the class.
func (p *planner) shared(c *Class, w *Workspace) string {
	if c.Documents < 1 {
		return ""
	}
	name := fmt.Sprintf("document %s/%s/%d ", w.Name, c.Name, p.rng.IntN(c.Documents))
	// The length of a document follows from its name.
	var seed uint64
	for _, b := range []byte(name) {
		seed = seed*31 + uint64(b)
	}
	return name + filler(name, c.Shared.draw(rand.New(rand.NewPCG(seed, seed))))
}

// filler returns text of n tokens that follows from the name.
func filler(name string, n int) string {
	return strings.Repeat(name, n*bytesPerToken/len(name)+1)[:n*bytesPerToken]
}

// pick returns an index with the probability of its weight.
func pick(rng *rand.Rand, weights []float64) int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
