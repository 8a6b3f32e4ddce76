package hoster

func (h *Host) loadTLS() error { return nil }
