package coordinator

// PublishedVersion returns the version of the document that this host has applied.
func (c *Coordinator) PublishedVersion() uint64 { return c.Published().Document.Version }
