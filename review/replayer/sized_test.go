//go:build review

package replayer_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// sizedStream sends requests on a streaming route with sizes that may not be resumed, to
// engines whose smallest model is in doubt about its answers.
func sizedStream(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec, []string{"zone-a"}, 1)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	var replicas []*replica
	var entries []map[string]any
	for i := range 3 {
		r, err := newReplica(f, i+1, "desk-model", "zone-a")
		if err != nil {
			return verdict{}, err
		}
		r.slots = 128
		r.handle = func(r *replica, w http.ResponseWriter, req *http.Request) {
			id, model := req.Header.Get("Foxtailwall-Request-Id"), req.Header.Get("Foxtailwall-Model")
			confidence := "95"
			if trouble && model == "m0" {
				confidence = "5"
			}
			r.begin(id)
			w.Header().Set("Foxtailwall-Request-Id", id)
			w.Header().Set("Foxtailwall-Replica-Stamp", r.id+"."+id)
			w.Header().Set("Foxtailwall-Confidence", confidence)
			w.Header().Set("Content-Type", "text/event-stream")
			for n := 1; n <= 5; n++ {
				fmt.Fprintf(w, "id: %d\ndata: %s.%s.%d\n\n", n, id, model, n)
				w.(http.Flusher).Flush()
				select {
				case <-time.After(30 * time.Millisecond):
				case <-req.Context().Done():
					return
				}
			}
		}
		replicas = append(replicas, r)
		e := r.entry()
		e["stage"], e["models"] = "colocated", []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}, map[string]any{"name": "m1", "version": 1, "adapters": []any{}}}
		entries = append(entries, e)
	}
	f.list.set(entries...)
	if err := f.start(); err != nil {
		return verdict{}, err
	}
	config := deskConfig(1, 0)
	for _, r := range config["routes"].([]any) {
		r.(map[string]any)["streamResume"] = false
	}
	if err := newOperator(f).put(config, f.controls...); err != nil {
		return verdict{}, err
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	c := newClient(f)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for n := range 200 {
		wg.Go(func() {
			a := c.send(f.entries[0], http.MethodPost, "/review/1", "prompt", 8*time.Second, map[string]string{
				"Foxtailwall-Model": "*", "Foxtailwall-Token-Usage": "400,50", "Foxtailwall-Prefix-Hash": fmt.Sprintf("%x:100,%x:%d", n%20, 1000+n, 300),
			})
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK {
				answered++
			}
		})
		pause(50 * time.Millisecond)
	}
	wg.Wait()
	runs := make(map[string]int)
	for _, r := range replicas {
		r.mu.Lock()
		for _, x := range r.runs {
			runs[x.id]++
		}
		r.mu.Unlock()
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			if twice == 0 {
				rec.add("%s ran %d times", id, n)
			}
			twice++
		}
	}
	if answered < 100 {
		return verdict{}, fmt.Errorf("only %d of 200 requests were answered", answered)
	}
	return verdict{twice > 0, fmt.Sprintf("%d of %d requests that may run once ran more than once; %d were answered", twice, len(runs), answered)}, nil
}
