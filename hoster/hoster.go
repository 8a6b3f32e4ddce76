// Package hoster assembles one host of the system from its settings: the
// control group member, the distribution of the configuration, the request
// path and their ports.
//
// # Usage
//
//	host, err := hoster.New(settings, hoster.Options{Clock: timekeeper.System{}, Log: log})
//	if err != nil {
//		return err
//	}
//	return host.Run(ctx) // drains and returns when ctx ends
package hoster
