package syncer

// ListName returns the name of the list that the leader told last.
func (c *Client) ListName() string { return c.list.Name }

// TakeList takes over the list of an update.
func (c *Client) TakeList(u *Update) { c.takeList(u) }
