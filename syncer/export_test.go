package syncer

// ListName returns the name of the newest list from the leader.
func (c *Client) ListName() string { return c.list.Name }

// UpdateList stores the list from an update.
func (c *Client) UpdateList(u *Update) { c.updateList(u) }
