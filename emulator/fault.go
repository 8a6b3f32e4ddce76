package emulator

import (
	"fmt"
	"net/http"
	"time"
)

// Kinds of faults. The comment says which fields of Fault they read.
const (
	// FaultBad sets the quality of a version (Model, Version, Quality).
	FaultBad FaultKind = "bad"
	// FaultGood gives a version its configured quality again (Model, Version).
	FaultGood FaultKind = "good"
	// FaultLeave makes the stand-in leave: new work gets 503 with
	// Foxtailwall-Not-Run, running work ends as usual.
	FaultLeave FaultKind = "leave"
	// FaultReturn ends FaultLeave under a new incarnation.
	FaultReturn FaultKind = "return"
	// FaultSilent makes the open connections silent; new ones work.
	FaultSilent FaultKind = "silent"
	// FaultLate sends the next Count answers after an additional Delay.
	FaultLate FaultKind = "late"
	// FaultCross sends the next Count callers the previous answer, with the
	// request ID of the previous request.
	FaultCross FaultKind = "cross"
	// FaultStray sends the previous answer a second time, unasked, on the
	// connection after each of the next Count whole answers.
	FaultStray FaultKind = "stray"
	// FaultCut breaks the connection half-way through the next Count answers.
	FaultCut FaultKind = "cut"
	// FaultError answers the next Count requests with 500 without running
	// them and without saying so.
	FaultError FaultKind = "error"
	// FaultStall stops the engine for Delay.
	FaultStall FaultKind = "stall"
	// FaultSlow makes every step Factor times as long; 1 ends it.
	FaultSlow FaultKind = "slow"
	// FaultRestart ends running work, empties the cache and starts a new
	// incarnation.
	FaultRestart FaultKind = "restart"
	// FaultDown makes the rating service, the weight store or the host list
	// answer 503 until FaultReturn.
	FaultDown FaultKind = "down"
)

type (
	// FaultKind names a fault.
	FaultKind string

	// Fault is a command to a stand-in to misbehave.
	Fault struct {
		Kind    FaultKind `json:"kind"`
		Model   string    `json:"model,omitempty"`
		Version string    `json:"version,omitempty"`
		Quality float64   `json:"quality,omitempty"`
		// Count is the number of answers affected; 0 counts as 1.
		Count int `json:"count,omitempty"`
		// Delay is in nanoseconds in JSON.
		Delay  time.Duration `json:"delay,omitempty"`
		Factor float64       `json:"factor,omitempty"`
	}

	// UnsupportedFaultError says that a stand-in cannot take a fault.
	UnsupportedFaultError struct {
		Fault Fault
		On    string
	}

	faultSetter interface{ SetFault(Fault) error }

	// counts holds the faults that affect a number of answers.
	counts map[FaultKind]*pending

	pending struct {
		left  int
		delay time.Duration
	}
)

// Error implements error.
func (e *UnsupportedFaultError) Error() string {
	return fmt.Sprintf("fault %q (model %q, version %q) does not apply to %s; see emulator.FaultKind",
		e.Fault.Kind, e.Fault.Model, e.Fault.Version, e.On)
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

func (c counts) add(f Fault) {
	c[f.Kind] = &pending{left: max(f.Count, 1), delay: f.Delay}
}

// take uses up one of the fault's answers and reports whether there was one.
func (c counts) take(k FaultKind) (time.Duration, bool) {
	p := c[k]
	if p == nil || p.left == 0 {
		return 0, false
	}
	p.left--
	return p.delay, true
}
