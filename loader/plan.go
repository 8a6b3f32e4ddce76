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
	// continueProbability is the probability that a chat request continues an
	// open session.
	continueProbability = 0.75
	// tokenProbability is the probability that a session sends back the signed
	// token; the others send only their own ID.
	tokenProbability = 0.5
	// bytesPerToken is the length of a prompt token in the emulator.
	bytesPerToken = 4
)

type (
	// Request is a planned request with its caller and content.
	Request struct {
		Index int
		// At is the intended start, relative to the start of the run.
		At        time.Duration
		Class     *Class
		Workspace *Workspace
		Member    Member
		// Session is empty outside sessions. ByToken means that the caller
		// identifies the session by the signed token instead of its own ID.
		Session string
		ByToken bool
		Turn    int
		// Prompt is the prompt of a model request, or the body for a plain
		// service.
		Prompt    string
		MaxTokens int
		// Digest is the emulator's digest of Prompt, unique within a run. Reads
		// are sent without a body, so services do not see their digest.
		Digest string
		// Entry is the index in Config.Entries of the address tried first.
		Entry int
	}

	// planner generates random requests.
	planner struct {
		conf             *Config
		rng              *rand.Rand
		now              time.Duration
		count            int
		sessions         map[*Workspace][]*plannedSession
		workspaceWeights []float64
		classWeights     []float64
	}

	// plannedSession is a session with turns left to plan.
	plannedSession struct {
		id        string
		byToken   bool
		turnsLeft int
		nextTurn  int
		history   string
	}
)

// Plan yields the requests of a run in order of their start and generates each
// only when it is asked for. The same configuration and seed give the same plan.
func Plan(conf Config) iter.Seq[Request] {
	return func(yield func(Request) bool) {
		if len(conf.Workspaces) == 0 || conf.Rate <= 0 {
			return
		}
		p := newPlanner(conf)
		for conf.Count <= 0 || p.count < conf.Count {
			p.now += time.Duration(p.rng.ExpFloat64() / conf.Rate * float64(time.Second))
			if p.now >= conf.Duration || !yield(p.nextRequest()) {
				return
			}
		}
	}
}

func newPlanner(conf Config) *planner {
	p := &planner{conf: &conf, rng: rand.New(rand.NewPCG(conf.Seed, conf.Seed)), sessions: make(map[*Workspace][]*plannedSession)}
	for _, w := range conf.Workspaces {
		p.workspaceWeights = append(p.workspaceWeights, w.Weight)
	}
	for _, c := range conf.Mix.Classes {
		p.classWeights = append(p.classWeights, c.Weight)
	}
	return p
}

// nextRequest generates the request that arrives at p.now.
func (p *planner) nextRequest() Request {
	w := &p.conf.Workspaces[weightedIndex(p.rng, p.workspaceWeights)]
	c := &p.conf.Mix.Classes[weightedIndex(p.rng, p.classWeights)]
	r := Request{Index: p.count, At: p.now, Class: c, Workspace: w}
	p.count++
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
		head = p.addTurn(&r)
	} else {
		head = p.sharedDocument(c, w)
	}
	own := fmt.Sprintf("request %d-%d ", p.conf.Seed, r.Index)
	r.Prompt = head + own + fillerText(own, c.Prompt.draw(p.rng))
	r.MaxTokens = c.Output.draw(p.rng)
	r.Digest = emulator.Digest(r.Prompt)
	return r
}

// addTurn assigns r to a continued or new session and returns the start of its
// prompt: the shared document and the text of earlier turns.
func (p *planner) addTurn(r *Request) string {
	list := p.sessions[r.Workspace]
	var s *plannedSession
	if len(list) > 0 && p.rng.Float64() < continueProbability {
		s = list[p.rng.IntN(len(list))]
	} else {
		s = &plannedSession{
			id:      fmt.Sprintf("session-%d-%d", p.conf.Seed, r.Index),
			byToken: p.rng.Float64() < tokenProbability, turnsLeft: p.conf.Mix.Turns.draw(p.rng),
			history: p.sharedDocument(r.Class, r.Workspace),
		}
		list = append(list, s)
	}
	r.Session, r.ByToken, r.Turn = s.id, s.byToken, s.nextTurn
	head := s.history
	s.history += fillerText(fmt.Sprint(s.id, s.nextTurn), r.Class.Prompt.draw(p.rng))
	s.nextTurn++
	s.turnsLeft--
	p.sessions[r.Workspace] = list
	if s.turnsLeft <= 0 {
		p.removeSession(r.Workspace, s)
	}
	return head
}

// removeSession removes a session that has no turns left.
func (p *planner) removeSession(w *Workspace, s *plannedSession) {
	list := p.sessions[w][:0]
	for _, other := range p.sessions[w] {
		if other != s {
			list = append(list, other)
		}
	}
	p.sessions[w] = list
}

// sharedDocument returns a random document of the workspace for the class.
func (p *planner) sharedDocument(c *Class, w *Workspace) string {
	if c.Documents < 1 {
		return ""
	}
	name := fmt.Sprintf("document %s/%s/%d ", w.Name, c.Name, p.rng.IntN(c.Documents))
	// The name seeds the length, so that a document is the same in each request.
	var seed uint64
	for _, b := range []byte(name) {
		seed = seed*31 + uint64(b)
	}
	return name + fillerText(name, c.Shared.draw(rand.New(rand.NewPCG(seed, seed))))
}

// fillerText repeats the name up to a length of n tokens.
func fillerText(name string, n int) string {
	return strings.Repeat(name, n*bytesPerToken/len(name)+1)[:n*bytesPerToken]
}

// weightedIndex returns a random index with a probability proportional to its
// weight.
func weightedIndex(rng *rand.Rand, weights []float64) int {
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
