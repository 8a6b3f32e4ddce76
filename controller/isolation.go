package controller

import (
	"slices"
	"strconv"
	"time"
)

const (
	// firstIsolation is how long a prompt part is isolated for the first time. The
	// time doubles with each further one, up to maxIsolation.
	firstIsolation = 10 * time.Minute
	maxIsolation   = 24 * time.Hour
	// isolationMemory is how long an isolation that has ended is remembered.
	isolationMemory = 24 * time.Hour
	// MaxIsolationTrials is the number of trials that an isolation may have.
	MaxIsolationTrials = 2
	// maxIsolations bounds the isolations, including those that have ended.
	maxIsolations = 256
)

type (
	// PromptPart identifies a cacheable part of the prompts to the engines of a
	// service, or a whole request to a service.
	PromptPart struct {
		Service string `cbor:"service"`
		ID      uint64 `cbor:"id"`
		// Request means that ID is the hash of a request's content.
		Request bool `cbor:"request,omitempty"`
	}

	// IsolationStep starts the isolation of a prompt part or request, or ends it.
	IsolationStep struct {
		Part PromptPart `cbor:"part"`
		End  bool       `cbor:"end,omitempty"`
		// Served says that an isolation ends because a trial request was served. It is
		// then forgotten; machines of an earlier release remember it as any other.
		Served bool `cbor:"served,omitempty"`
		// Trial starts a trial during an isolation: the host whose isolator.Recorder has
		// this ID lets one request through. Machines of an earlier release ignore it.
		Trial uint64 `cbor:"trial,omitempty"`
		// Hold starts an isolation with a hold, in which Trial names the host of the trial.
		// A further start ends the hold. Machines of an earlier release start the isolation
		// at once.
		Hold bool `cbor:"hold,omitempty"`
	}

	// Isolation says that requests with a prompt part crashed engines, or that a
	// request crashed upstreams.
	Isolation struct {
		Part PromptPart `cbor:"part"`
		// Active means that requests with the part, or copies of the request, are
		// refused.
		Active bool `cbor:"active"`
		// Times is how often the part was isolated.
		Times int `cbor:"times"`
		// Until is the leader's time at which the isolation should end or, once it
		// has ended, at which it is forgotten.
		Until time.Time `cbor:"until"`
		// Since is the leader's time at which the isolation began, zero in entries of
		// an earlier release. Trials counts its trials, and TrialBy is the ID of the
		// recorder of the host that makes the latest one.
		Since   time.Time `cbor:"since,omitzero"`
		Trials  int       `cbor:"trials,omitempty"`
		TrialBy uint64    `cbor:"trialBy,omitempty"`
		// Held means that requests with the part wait for the result of the trial, for a
		// time, and are not refused.
		Held bool `cbor:"held,omitempty"`
	}
)

// String returns the service and, in hexadecimal, the ID of the part or request.
func (p PromptPart) String() string {
	id := strconv.FormatUint(p.ID, 16)
	if p.Request {
		return p.Service + "/request/" + id
	}
	return p.Service + "/" + id
}

// stepIsolation starts or ends an isolation, or starts a trial, and reports whether that
// had an effect.
func (m *Machine) stepIsolation(at time.Time, st *IsolationStep) bool {
	// Readers may still use the old list.
	next := slices.DeleteFunc(slices.Clone(m.isolations), func(i Isolation) bool { return !i.Active && i.Until.Before(at) })
	index := slices.IndexFunc(next, func(i Isolation) bool { return i.Part == st.Part })
	active := index >= 0 && next[index].Active
	switch {
	case st.Hold && active:
		return false
	case st.Trial != 0 && !st.Hold:
		if index < 0 || !next[index].Active || next[index].Trials >= MaxIsolationTrials {
			return false
		}
		next[index].Trials, next[index].TrialBy = next[index].Trials+1, st.Trial
	case st.End && (index < 0 || !next[index].Active):
		return false
	case st.End && st.Served:
		next = slices.Delete(next, index, index+1)
	case st.End:
		next[index].Active, next[index].Until = false, at.Add(isolationMemory)
	case active && next[index].Held:
		next[index].Held = false
	case active:
		return false
	case index >= 0:
		next[index] = isolate(next[index], at)
	default:
		if len(next) >= maxIsolations {
			next = dropIsolation(next)
		}
		next = append(next, isolate(Isolation{Part: st.Part}, at))
	}
	if st.Hold {
		i := slices.IndexFunc(next, func(i Isolation) bool { return i.Part == st.Part })
		next[i].Held, next[i].Trials, next[i].TrialBy = true, 1, st.Trial
	}
	m.isolations = next
	m.viewDirty = true
	return true
}

// isolate returns i as it is while isolated from the given time.
func isolate(i Isolation, at time.Time) Isolation {
	duration := firstIsolation
	for range i.Times {
		duration = min(2*duration, maxIsolation)
	}
	i.Active, i.Times, i.Until = true, i.Times+1, at.Add(duration)
	i.Since, i.Trials, i.TrialBy, i.Held = at, 0, 0, false
	return i
}

// dropIsolation removes the isolation that ends or is forgotten first, if
// possible one that has ended.
func dropIsolation(list []Isolation) []Isolation {
	first := slices.MinFunc(list, func(a, b Isolation) int {
		if a.Active != b.Active {
			if b.Active {
				return -1
			}
			return 1
		}
		return a.Until.Compare(b.Until)
	})
	return slices.DeleteFunc(list, func(i Isolation) bool { return i.Part == first.Part })
}
