package replicator

// startPreVote asks the other voters whether they would vote for this member,
// without raising the term.
func (c *core) startPreVote() {
	c.role, c.leaderID = preCandidate, ""
	c.backOffElection()
	c.votes = map[string]bool{c.self.ID: true}
	if c.hasMajorityVotes() {
		c.startElection()
		return
	}
	c.requestVotes(kindPreVote, c.meta.Term+1)
}

// startElection raises the term, votes for this member and requests votes.
func (c *core) startElection() {
	c.role = candidate
	c.meta.Term++
	c.meta.Vote = c.self.ID
	c.metaDirty = true
	c.votes = map[string]bool{c.self.ID: true}
	if c.hasMajorityVotes() {
		c.becomeLeader()
		return
	}
	c.requestVotes(kindVote, c.meta.Term)
}

func (c *core) requestVotes(kind Kind, term uint64) {
	for _, m := range c.membership() {
		if m.Voter && m.ID != c.self.ID {
			c.queueAfterSync(m.Addr, &Message{
				Kind: kind, To: m.ID, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.term(c.log.lastIndex()),
				Member: &c.self,
			})
		}
	}
}

func (c *core) hasMajorityVotes() bool {
	return quorumValue(c, func(id string) uint64 {
		if c.votes[id] {
			return 1
		}
		return 0
	}) == 1
}

// handleVoteRequest answers a request for a vote or pre-vote, unless a leader
// may still hold a lease.
func (c *core) handleVoteRequest(m *Message) {
	if m.Member == nil {
		return
	}
	if c.leaseMayHold() {
		c.updateAddress(*m.Member)
		return
	}
	kind := kindVoteReply
	if m.Kind == kindPreVote {
		kind = kindPreVoteReply
	} else if m.Term > c.meta.Term {
		c.becomeFollower(m.Term, "")
	}
	grant := m.Term >= c.meta.Term && c.candidateUpToDate(m)
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
		c.resetElectionTimer()
	}
	c.queueAfterSync(m.Member.Addr, reply)
}

// leaseMayHold reports whether a leader was heard from so recently that it may
// still hold a lease, in which case no vote is granted.
func (c *core) leaseMayHold() bool {
	if c.role == leader {
		return c.now-c.quorumAckTime() < c.electionTimeout
	}
	return c.now-c.lastLeaderContact < c.electionTimeout
}

// candidateUpToDate reports whether the candidate's log is at least as recent
// as this one, so that it holds every entry that may be committed here.
func (c *core) candidateUpToDate(m *Message) bool {
	last := c.log.term(c.log.lastIndex())
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.lastIndex())
}

func (c *core) handleVoteReply(m *Message) {
	if m.Reject {
		if m.Term > c.meta.Term {
			c.becomeFollower(m.Term, "")
		}
		return
	}
	switch {
	case m.Kind == kindPreVoteReply && c.role == preCandidate && m.Term == c.meta.Term+1:
		c.votes[m.From] = true
		if c.hasMajorityVotes() {
			c.startElection()
		}
	case m.Kind == kindVoteReply && c.role == candidate && m.Term == c.meta.Term:
		c.votes[m.From] = true
		if c.hasMajorityVotes() {
			c.becomeLeader()
		}
	}
}

func (c *core) becomeLeader() {
	c.role, c.leaderID, c.leaderSince = leader, c.self.ID, c.now
	c.progress = make(map[string]*progress)
	for _, m := range c.membership() {
		c.trackProgress(m.ID)
	}
	c.termStart = c.appendEntry(entryNoop, nil)
	c.broadcast()
}

// trackProgress starts to track another member. Its lastAckedSend starts one
// lease duration in the past, so that a member that never answers cannot extend
// the lease.
func (c *core) trackProgress(id string) {
	if id != c.self.ID && c.progress[id] == nil {
		c.progress[id] = &progress{nextIndex: c.log.lastIndex() + 1, lastAckedSend: c.now - c.leaseDuration}
	}
}

// skipStartupWait lets a newly started member vote and start an election
// without waiting for an election timeout. It is safe only if no read relies on
// a lease.
func (c *core) skipStartupWait() {
	c.lastLeaderContact = c.now - c.electionTimeout
	c.backOffElection()
}
