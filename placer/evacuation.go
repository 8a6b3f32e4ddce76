package placer

// SetEvacuated replaces the zones whose upstreams get no requests.
func (p *Placer) SetEvacuated(zones []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.evacuated
	p.evacuated = make(map[string]bool, len(zones))
	for _, z := range zones {
		p.evacuated[z] = true
	}
	for z := range before {
		if !p.evacuated[z] {
			p.suspectEvacuated(z, p.settings.Clock.Now())
		}
	}
}

// Evacuated reports whether the service has upstreams of the version and all of them
// are in evacuated zones.
func (p *Placer) Evacuated(service, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[service]
	if pl == nil || len(p.evacuated) == 0 {
		return false
	}
	listed := false
	for _, u := range pl.upstreams {
		if u.Version != version {
			continue
		}
		if !p.evacuated[u.Zone] {
			return false
		}
		listed = true
	}
	return listed
}
