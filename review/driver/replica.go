//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"foxtailwall/timekeeper"
)

// replica is a server of a service. Its fields other than the address say how it
// works.
type replica struct {
	ID, Service, Addr, Zone string
	Slots                   int
	// Work is how long a request of a plain service takes. The replica begins with
	// the header, answers after the work and reads the rest of the body after that.
	Work time.Duration
	// First is the time to the first event of a stream, and Pause the time between
	// events, of which there are Events; zero Events means a plain service.
	First, Pause time.Duration
	Events       int
	// Fails is the share of streams that the replica begins and ends with status 503
	// during the disruption.
	Fails float64
	// Endless means that the bodies of the replica's answers do not end during the
	// disruption.
	Endless bool
	// Inside means that the player serves the replica.
	Inside bool
	// Born is when the replica last started, in Unix milliseconds.
	Born int64
}

// receiveBuffer is the size of the receive buffer of a replica's connections, as
// on links with small windows.
const receiveBuffer = 16 << 10

// runLog records in a file what a replica ran. Each line is written at once, so
// that a killed process loses none.
type runLog struct {
	mu   sync.Mutex
	file *os.File
	id   string
}

func (l *runLog) record(what, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%d %s %s %s\n", clock.Now().UnixMilli(), l.id, what, request)
}

// dirOf returns the folder of the run.
func dirOf(l *runLog) string { return filepath.Dir(l.file.Name()) }

// disrupted reports whether the player has begun the disruption and not ended it.
func disrupted(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, "disruption"))
	return err == nil
}

// serveReplica serves the replica with the ID until the process ends.
func serveReplica(dir, id string) error {
	f, err := readFleet(dir)
	if err != nil {
		return err
	}
	for _, r := range f.Replicas {
		if r.ID != id {
			continue
		}
		file, err := os.OpenFile(filepath.Join(dir, "runs-"+id), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		l, err := listenSmall(r.Addr, receiveBuffer)
		if err != nil {
			return err
		}
		log := &runLog{file: file, id: id}
		if r.Events == 0 {
			return r.servePlain(log, l)
		}
		return (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(log, w, req) })}).Serve(l)
	}
	return fmt.Errorf("replica %q is unknown", id)
}

// listenSmall listens at addr with receive buffers of the given size, as on links with
// small windows.
func listenSmall(addr string, size int) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		var serr error
		err := rc.Control(func(fd uintptr) {
			serr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
		if err != nil {
			return err
		}
		return serr
	}}
	return lc.Listen(context.Background(), "tcp", addr)
}

func (r *replica) serve(log *runLog, w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Foxtailwall-Request-Id")
	w.Header().Set("Foxtailwall-Request-Id", id)
	if req.Header.Get("Foxtailwall-Expect-Replica") != r.ID {
		w.Header().Set("Foxtailwall-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	log.record("begins", id)
	w.Header().Set("Foxtailwall-Replica-Stamp", r.ID+"."+id)
	r.serveStream(log, w, req, id)
}

// serveStream sends events from the one after Last-Event-Id on. It stops at the
// deadline, with status 504 if it has sent none.
func (r *replica) serveStream(log *runLog, w http.ResponseWriter, req *http.Request, id string) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		log.record("stops", id)
		return
	}
	if r.Endless && disrupted(dirOf(log)) {
		log.record("spoils", id)
		r.serveEndless(w, req)
		return
	}
	if r.Fails > 0 && disrupted(dirOf(log)) && rand.Float64() < r.Fails {
		_ = timekeeper.Sleep(req.Context(), clock, r.First/2) // The answer follows in any case.
		log.record("fails", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	left, err := strconv.Atoi(req.Header.Get("Foxtailwall-Deadline-Ms"))
	if err != nil {
		left = int(time.Hour / time.Millisecond)
	}
	deadline := clock.Now().Add(time.Duration(left) * time.Millisecond)
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // An absent header means 0.
	for i := from + 1; i <= r.Events; i++ {
		pause := r.Pause
		if i == from+1 {
			pause = r.First
		}
		until := clock.Now().Add(pause)
		late := until.After(deadline)
		if late {
			until = deadline
		}
		if timekeeper.Sleep(req.Context(), clock, until.Sub(clock.Now())) != nil {
			log.record("stops", id)
			return
		}
		switch {
		case late && i == from+1:
			log.record("late", id)
			w.Header().Set("Content-Type", "text/plain")
			w.WriteHeader(http.StatusGatewayTimeout)
			fmt.Fprint(w, "the deadline has passed\n")
			return
		case late:
			log.record("late", id)
			panic(http.ErrAbortHandler) // The stream must not look complete.
		case i == from+1:
			w.Header().Set("Content-Type", "text/event-stream")
		}
		fmt.Fprint(w, event(i, id))
		w.(http.Flusher).Flush()
	}
	log.record("ends", id)
}

// event returns an event of the answer to a request.
func event(i int, id string) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, id, i) }
