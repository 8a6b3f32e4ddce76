// Package isolator finds prompt parts that crash engines, and requests that crash
// upstreams whenever callers send them again, so that these are refused.
//
// An engine that crashes breaks all requests that it serves, and all their prompt
// parts are suspects. Two things tell the cause from the rest: it is there at
// every crash, and no request with it succeeds afterwards. Hosts report the parts
// of their broken requests to the leader of the control group; the leader
// announces those that were there at several crashes, and hosts answer when the
// latest attempt with them that succeeded was sent, which clears them of the crashes
// before. An attempt that was sent earlier may have succeeded only because it was
// served before the crash. The part that remains with the most crashes is isolated, and
// the crashes that it explains no longer count against other parts.
//
// With few first prompt parts, each of them is present at nearly every crash, whatever
// the cause. Hosts therefore report how many attempts they sent and how many were
// answered, and how many had each suspect. A part or request is isolated only if the
// crashes could hardly be explained by its share of the attempts.
//
// The evidence may still be wrong. After an isolation starts, the leader names one host
// that lets a single request with the part through, at most twice; if it is served, the
// isolation ends. A common part is held first: its requests wait up to 1 s for the result
// of a trial, and are refused only once the trial has crashed an upstream or has no result
// in time.
//
// A whole request is judged by its content: each time that it is sent it is broken
// off, by one upstream after the other, while one that only shared an upstream with
// it is served when it is sent again.
//
// Package monitor and package placer judge upstreams, package governor judges
// versions; this package judges requests.
//
// # Usage
//
//	// At hosts that serve callers:
//	r := isolator.NewRecorder(clock)
//	r.RecordSent(service, parts)
//	r.RecordAnswered(service, sentAt)
//	r.RecordBroken(service, upstream, content, parts)
//	r.RecordSuccess(service, parts, sentAt)
//	r.RecordBrokenRequest(isolator.BrokenRequest{Service: service, Content: hash, Upstream: upstream, ID: requestID, Attempt: 1})
//	r.RecordRequestSuccess(service, hash, sentAt)
//	r.SetSuspects(suspects) // from the leader
//	r.SetIsolations(isolations) // from the replicated log
//	if r.TakeTrial(part) {
//		// Send the request, although its part is isolated.
//		r.RecordTrial(part)       // if it was served
//		r.RecordBrokenTrial(part) // if its upstream crashed
//	} else if r.Held(part) {
//		// Let the request wait.
//	}
//	r.SetPath(isolator.Path{ReceivedAt: receivedAt})
//	evidence := r.Evidence() // to the leader
//
//	// At the leader:
//	j := isolator.NewJudge(clock)
//	j.SetIsolations(isolations)
//	j.Add(evidence)
//	suspects := j.Suspects()
//	for _, step := range j.Next() {
//		// Isolate the part, or the request, or hold it.
//	}
//	for _, step := range j.Trials() {
//		// Start a trial, or end the isolation.
//	}
package isolator

import (
	"time"

	"foxtailwall/controller"
)

type (
	// Crash says that a request with a prompt part was broken off by the end of an
	// upstream's connection.
	Crash struct {
		Part controller.PromptPart `cbor:"part"`
		// Depth is the number of parts after it in the prompt.
		Depth int `cbor:"depth"`
		// Upstream is the hash of the upstream's incarnation, and Request that of the
		// request's content, from hosts of an earlier release that of its ID.
		Upstream uint64 `cbor:"upstream"`
		Request  uint64 `cbor:"request"`
		// Age is the time since the crash.
		Age time.Duration `cbor:"age"`
	}

	// Break says that an attempt of a request was broken off by the end of an
	// upstream's connection.
	Break struct {
		Request controller.PromptPart `cbor:"request"`
		// Attempt is the hash of the request's ID and the number of the attempt, and
		// Upstream that of the upstream's incarnation.
		Attempt  uint64 `cbor:"attempt"`
		Upstream uint64 `cbor:"upstream"`
		// Age is the time since the break.
		Age time.Duration `cbor:"age"`
	}

	// Success says that a request with a prompt part got its whole response.
	Success struct {
		Part controller.PromptPart `cbor:"part"`
		// Age is the time since then, and SentAge that since its attempt was sent, zero
		// from hosts of an earlier release.
		Age     time.Duration `cbor:"age"`
		SentAge time.Duration `cbor:"sentAge,omitempty"`
	}

	// Evidence is what a host reports to the leader.
	Evidence struct {
		// Crashes are those of the last seconds, whether reported before or not.
		Crashes []Crash `cbor:"crashes,omitempty"`
		// Breaks are those of the last seconds; after a change of the leader, all that
		// the host remembers.
		Breaks []Break `cbor:"breaks,omitempty"`
		// Successes are those with each suspect whose attempt was sent last.
		Successes []Success `cbor:"successes,omitempty"`
		// Recorder identifies the run of the host's process, and Tallies count its
		// attempts of the last seconds while there are crashes or suspects. Hosts of an
		// earlier release report neither.
		Recorder uint64  `cbor:"recorder,omitempty"`
		Tallies  []Tally `cbor:"tallies,omitempty"`
		// Refused are the isolated parts and requests that callers have sent of late,
		// and Served those with which the host's trial request was served.
		Refused []controller.PromptPart `cbor:"refused,omitempty"`
		Served  []controller.PromptPart `cbor:"served,omitempty"`
		// Broken are those with which the upstream of the trial request crashed.
		Broken []controller.PromptPart `cbor:"broken,omitempty"`
	}
)
