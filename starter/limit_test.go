package starter_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/starter"
	"foxtailwall/timekeeper"
)

// startMoreEntries starts n entries beside the first until the spec ends, and
// returns the settings of all.
func (d *deployment) startMoreEntries(n int) []starter.Settings {
	all := []starter.Settings{d.entry}
	for i := range n {
		all = append(all, d.startEntry(fmt.Sprint("e", i), d.opts))
	}
	return all
}

// Guards against hosts that do not learn of a limit, of the number of hosts or of
// their rank among them, and so exceed the limit together or never use the upstream.
var _ = Describe("A rate limit of an upstream", func() {
	It("is kept by many hosts together, which go on using the upstream", func(ctx context.Context) {
		const perSecond, window, settle = 2, 4 * time.Second, 3 * time.Second
		clock := timekeeper.System{}
		var mu sync.Mutex
		var arrivals []time.Time
		d := startDeployment(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			arrivals = append(arrivals, clock.Now())
			mu.Unlock()
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Limit", fmt.Sprint(perSecond))
		})
		entries := d.startMoreEntries(13)
		d.putConfig(config(1, "/a/"))
		for _, e := range entries {
			d.eventually(status(e.Ready, "/ready")).Should(Equal(200))
		}
		settled := func() []time.Time {
			mu.Lock()
			defer mu.Unlock()
			for i, at := range arrivals {
				if at.Sub(arrivals[0]) >= settle {
					return slices.Clone(arrivals[i:])
				}
			}
			return nil
		}
		callers, stop := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for _, e := range entries {
			wg.Go(func() {
				defer GinkgoRecover()
				for timekeeper.Sleep(callers, clock, 20*time.Millisecond) == nil {
					Expect(status(e.Callers, "/a/x")()).To(Or(Equal(http.StatusOK), Equal(http.StatusServiceUnavailable)))
				}
			})
		}
		d.eventually(func() int { return len(settled()) }).Should(BeNumerically(">=", 12))
		stop()
		wg.Wait()
		at := settled()
		for i := range at {
			n := 0
			for _, other := range at[:i+1] {
				if at[i].Sub(other) < window {
					n++
				}
			}
			Expect(float64(n)).To(BeNumerically("<=", 1.5*perSecond*window.Seconds()+5))
		}
	}, NodeTimeout(4*eventTimeout))
})
