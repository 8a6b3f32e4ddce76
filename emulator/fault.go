package emulator

import (
	"fmt"
	"net/http"
	"time"
)

// Kinds of faults. Fields of Fault that a kind reads are named in its comment.
const (
	// FaultBad sets the quality of a version (Model, Version, Quality).
	FaultBad FaultKind = "bad"
	// FaultGood restores the configured quality of a version (Model, Version).
	FaultGood FaultKind = "good"
	// FaultLeave makes the stand-in drain: new requests get status 503 with
	// Foxtailwall-Not-Run, running ones complete normally.
	FaultLeave FaultKind = "leave"
	// FaultReturn ends FaultLeave, with a new incarnation, or FaultDown.
	FaultReturn FaultKind = "return"
	// FaultSilent stops all traffic on the open connections without closing
	// them; new connections work.
	FaultSilent FaultKind = "silent"
	// FaultLate delays the next Count answers by Delay.
	FaultLate FaultKind = "late"
	// FaultCross sends the next Count callers the previous answer, with the
	// request ID of the previous request.
	FaultCross FaultKind = "cross"
	// FaultStray sends the previous answer again, unrequested, on the
	// connection after each of the next Count answers that are not streamed.
	FaultStray FaultKind = "stray"
	// FaultCut closes the connection during the next Count answers: an engine
	// half-way, a service before the answer.
	FaultCut FaultKind = "cut"
	// FaultError answers the next Count requests with status 500 without
	// Foxtailwall-Not-Run. An engine does not run them; a service does.
	FaultError FaultKind = "error"
	// FaultStall pauses the stand-in for Delay.
	FaultStall FaultKind = "stall"
	// FaultSlow multiplies the duration of every step by Factor; 1 ends it.
	FaultSlow FaultKind = "slow"
	// FaultRestart aborts running requests, empties the cache and starts a
	// new incarnation.
	FaultRestart FaultKind = "restart"
	// FaultCrash aborts running requests, closes all connections and answers
	// nothing until the restart time of the ColdConfig has passed. An engine or a
	// service then runs again, cold if it is configured so.
	FaultCrash FaultKind = "crash"
	// FaultDown makes the rating service, the weight store or the host list
	// answer with status 503 until FaultReturn.
	FaultDown FaultKind = "down"
)

type (
	// FaultKind selects the misbehavior that a Fault causes.
	FaultKind string

	// Fault is a request to a stand-in to misbehave.
	Fault struct {
		Kind    FaultKind `json:"kind"`
		Model   string    `json:"model,omitempty"`
		Version string    `json:"version,omitempty"`
		Quality float64   `json:"quality,omitempty"`
		// Count is the number of answers affected; 0 means 1.
		Count int `json:"count,omitempty"`
		// Delay is in nanoseconds in JSON.
		Delay  time.Duration `json:"delay,omitempty"`
		Factor float64       `json:"factor,omitempty"`
	}

	// UnsupportedFaultError reports a fault that a stand-in does not support.
	UnsupportedFaultError struct {
		Fault  Fault
		Target string
	}

	faultSetter interface{ SetFault(Fault) error }

	// countedFaults holds the faults that apply to a number of answers.
	countedFaults map[FaultKind]*pendingFault

	pendingFault struct {
		remaining int
		delay     time.Duration
	}
)

// Error implements error.
func (e *UnsupportedFaultError) Error() string {
	return fmt.Sprintf("fault %q (model %q, version %q) is not supported by %s; see emulator.FaultKind",
		e.Fault.Kind, e.Fault.Model, e.Fault.Version, e.Target)
}

// handleFaults serves POST /faults.
func handleFaults(s faultSetter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if !readJSON(w, r, &f) {
			return
		}
		if err := s.SetFault(f); err != nil {
			writeError(w, http.StatusBadRequest, true, "unsupportedFault", err.Error())
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func (c countedFaults) add(f Fault) {
	c[f.Kind] = &pendingFault{remaining: max(f.Count, 1), delay: f.Delay}
}

// consume decrements the remaining answers of fault k. It returns the fault's
// delay, and false if no answers remained.
func (c countedFaults) consume(k FaultKind) (time.Duration, bool) {
	p := c[k]
	if p == nil || p.remaining == 0 {
		return 0, false
	}
	p.remaining--
	return p.delay, true
}
