package coordinator

// PublishedVersion returns the version of the document that this host has applied.
func (c *Coordinator) PublishedVersion() uint64 { return c.Published().Document.Version }

// Voters returns the number of voters in the newest membership that this host knows.
func (c *Coordinator) Voters() int {
	n := 0
	if m := c.openMember.Load(); m != nil {
		n = m.countVoters()
	}
	return n
}
