package replicator

import "slices"

// formatOf returns the version of log entries that a member applies: the newest that it
// reported to this leader, otherwise the stored one.
func (c *core) formatOf(m Member) uint32 {
	if m.ID == c.self.ID {
		return c.self.Format
	}
	if p := c.progress[m.ID]; p != nil && p.answered {
		return p.format
	}
	return m.Format
}

// lowestFormat returns the member that applies the lowest version of log entries, with
// that version. It is this member if no other applies a lower one.
func (c *core) lowestFormat() Member {
	lowest := c.self
	for _, m := range c.membership() {
		if m.Format = c.formatOf(m); m.Format < lowest.Format {
			lowest = m
		}
	}
	return lowest
}

// checkFormat returns a *FormatError if a member does not apply entries of the version.
func (c *core) checkFormat(required uint32) error {
	if m := c.lowestFormat(); m.Format < required {
		return &FormatError{Member: m, Required: required}
	}
	return nil
}

// withFormats returns the members with the versions of log entries that they apply.
func (c *core) withFormats(members []Member) []Member {
	members = slices.Clone(members)
	for i := range members {
		members[i].Format = c.formatOf(members[i])
	}
	return members
}

// storeFormats stores reported versions that differ from the stored ones, for the
// leaders to come.
func (c *core) storeFormats() {
	if !slices.Equal(c.withFormats(c.membership()), c.membership()) {
		// If the change is refused, the next tick tries again.
		_, _ = c.proposeMembership(c.membership())
	}
}
