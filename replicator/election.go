package replicator

// campaign asks for pre-votes.
func (c *core) campaign() {
	c.role, c.leader = preCandidate, ""
	c.waitAgain()
	c.votes = map[string]bool{c.self.ID: true}
	if c.won() {
		c.stand()
		return
	}
	c.askVotes(kindPreVote, c.meta.Term+1)
}

// stand raises the term and asks for votes.
func (c *core) stand() {
	c.role = candidate
	c.meta.Term++
	c.meta.Vote = c.self.ID
	c.metaDirty = true
	c.votes = map[string]bool{c.self.ID: true}
	if c.won() {
		c.becomeLeader()
		return
	}
	c.askVotes(kindVote, c.meta.Term)
}

func (c *core) askVotes(kind Kind, term uint64) {
	for _, m := range c.conf() {
		if m.Voter && m.ID != c.self.ID {
			c.send(m.Addr, &Message{
				Kind: kind, To: m.ID, Term: term, Index: c.log.last(), LogTerm: c.log.term(c.log.last()),
				Member: &c.self,
			})
		}
	}
}

func (c *core) won() bool {
	return quorum(c, func(id string) uint64 {
		if c.votes[id] {
			return 1
		}
		return 0
	}) == 1
}

// onVote answers a request for a vote or pre-vote.
func (c *core) onVote(m *Message) {
	if m.Member == nil {
		return
	}
	if c.sticky() {
		c.readdress(*m.Member)
		return
	}
	kind := kindVoteReply
	if m.Kind == kindPreVote {
		kind = kindPreVoteReply
	} else if m.Term > c.meta.Term {
		c.becomeFollower(m.Term, "")
	}
	grant := m.Term >= c.meta.Term && c.upToDate(m)
	if m.Kind == kindPreVote {
		grant = grant && m.Term > c.meta.Term
	} else {
		grant = grant && (c.meta.Vote == "" || c.meta.Vote == m.From)
	}
	reply := &Message{Kind: kind, To: m.From, Term: m.Term, Reject: !grant}
	if !grant {
		reply.Term = c.meta.Term
	} else if m.Kind == kindVote {
		c.meta.Vote = m.From
		c.metaDirty = true
		c.resetWait()
	}
	c.send(m.Member.Addr, reply)
}

// sticky reports whether a leader was heard so recently that it may still
// hold a lease, in which case no vote is given.
func (c *core) sticky() bool {
	if c.role == leader {
		return c.now-c.quorumAcked() < c.election
	}
	return c.now-c.leaderAt < c.election
}

// upToDate reports whether the candidate's log holds all that may be
// committed here.
func (c *core) upToDate(m *Message) bool {
	last := c.log.term(c.log.last())
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.last())
}

func (c *core) onVoteReply(m *Message) {
	if m.Reject {
		if m.Term > c.meta.Term {
			c.becomeFollower(m.Term, "")
		}
		return
	}
	switch {
	case m.Kind == kindPreVoteReply && c.role == preCandidate && m.Term == c.meta.Term+1:
		c.votes[m.From] = true
		if c.won() {
			c.stand()
		}
	case m.Kind == kindVoteReply && c.role == candidate && m.Term == c.meta.Term:
		c.votes[m.From] = true
		if c.won() {
			c.becomeLeader()
		}
	}
}

func (c *core) becomeLeader() {
	c.role, c.leader = leader, c.self.ID
	c.progress = make(map[string]*progress)
	for _, m := range c.conf() {
		c.track(m.ID)
	}
	c.termStart = c.propose(entryNoop, nil)
	c.broadcast()
}

// track starts to follow a member. Its silence counts from now.
func (c *core) track(id string) {
	if id != c.self.ID && c.progress[id] == nil {
		c.progress[id] = &progress{next: c.log.last() + 1, acked: c.now - c.lease}
	}
}

// startWithoutLease lets a member that has just started vote and stand at once.
// Nothing rests on a lease that it may have supported before.
func (c *core) startWithoutLease() {
	c.leaderAt = c.now - c.election
	c.waitAgain()
}
