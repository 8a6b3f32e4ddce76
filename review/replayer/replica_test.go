//go:build review

package replayer_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// replica is a stand-in for a server.
	replica struct {
		f                 *fleet
		id, service, zone string
		address           string
		version           string
		born              int64
		slots             int
		handle            func(r *replica, w http.ResponseWriter, req *http.Request)
		server            *http.Server

		mu   sync.Mutex
		runs []run
	}

	// run is a request that a replica has begun to work on.
	run struct {
		id string
		at time.Time
	}
)

// newReplica starts a replica; n distinguishes its address.
func newReplica(f *fleet, n int, service, zone string) (*replica, error) {
	l, err := net.Listen("tcp", fmt.Sprintf(replicaIP+":0", n))
	if err != nil {
		return nil, err
	}
	r := &replica{
		f: f, id: fmt.Sprintf("i-%08x", n), service: service, zone: zone, address: l.Addr().String(), version: "v1",
		born: time.Now().UnixMilli(), slots: 6, handle: answerPlain,
	}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	return r, nil
}

// entry returns the replica's entry in the platform's list.
func (r *replica) entry() map[string]any {
	return map[string]any{
		"id": r.id, "service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": "ready", "coldLeftMs": 0, "born": r.born,
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("Foxtailwall-Expect-Replica"); want != "" && want != r.id {
		w.Header().Set("Foxtailwall-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/health" {
		w.Header().Set("Foxtailwall-Replica-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	r.handle(r, w, req)
}

// begin records that the replica begins to work on a request.
func (r *replica) begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{id, time.Now()})
	r.f.rec.add("%s (zone %s) runs %s", r.id, r.zone, id)
}

// work is the time that a request takes at a replica.
const work = 60 * time.Millisecond

// answerPlain runs the request and answers it.
func answerPlain(r *replica, w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Foxtailwall-Request-Id")
	r.begin(id)
	pause(work)
	w.Header().Set("Foxtailwall-Request-Id", id)
	w.Header().Set("Foxtailwall-Replica-Stamp", r.id+"."+id)
	fmt.Fprintf(w, "done %s by %s", id, r.id)
}
