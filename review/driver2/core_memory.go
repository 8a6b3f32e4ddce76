//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coreLimit is memoryMb of a core machine.
	coreLimit = 280 << 20
	// coreGrowths is the number of configurations that add grownRoutes routes each.
	coreGrowths = 43
	// coreStormGap is the time between two changes, coreChanges their number.
	coreStormGap = 160 * time.Millisecond
	coreChanges  = 200
	// restartTime is the time after which the platform restarts a process that ended.
	restartTime = 300 * time.Millisecond
)

// coreMemory changes a large configuration in quick succession. A control host whose memory
// exceeds memoryMb is killed and restarted, as by the platform.
func coreMemory(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(rec, []string{"zone-a"}, 1)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	r, err := newReplica(f, 1, "square-registry", "zone-a")
	if err != nil {
		return verdict{}, err
	}
	f.list.set(r.entry())
	if err := f.start(); err != nil {
		return verdict{}, err
	}
	o := newOperator(f)
	version := 1
	if err := o.put(deskConfig(version, 0), f.controls...); err != nil {
		return verdict{}, err
	}
	if err := f.awaitReady(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	peaks := make([]atomic.Int64, controls)
	ends := make([]atomic.Int64, controls)
	for i, h := range f.controls {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				n := h.rss()
				peaks[i].Store(max(peaks[i].Load(), n))
				if n <= coreLimit {
					continue
				}
				rec.add("%s uses %d MB, more than memoryMb; the platform kills and restarts it", h.name, n>>20)
				ends[i].Add(1)
				h.kill()
				time.Sleep(restartTime)
				h.bootstrap = false
				if err := h.start(); err != nil {
					rec.add("%s cannot be started: %v", h.name, err)
					return
				}
			}
		})
	}
	for i := range coreGrowths {
		version += 3
		if err := o.put(deskConfig(version, (i+1)*grownRoutes), f.controls...); err != nil {
			return verdict{}, err
		}
	}
	rec.add("the configuration has %d routes", coreGrowths*grownRoutes)
	if trouble {
		slots := make(chan struct{}, 8)
		for range coreChanges {
			version += 2
			v := version
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				if err := o.put(deskConfig(v, coreGrowths*grownRoutes), f.controls...); err != nil {
					rec.add("%v", err)
				}
			})
			time.Sleep(coreStormGap)
		}
	} else {
		time.Sleep(10 * time.Second)
	}
	close(stop)
	wg.Wait()
	total, hosts := int64(0), 0
	text := ""
	for i := range f.controls {
		n := ends[i].Load()
		total += n
		if n > 0 {
			hosts++
		}
		text += fmt.Sprintf(" %s ended %d times (up to %d MB)", f.controls[i].name, n, peaks[i].Load()>>20)
	}
	return verdict{total >= 3 && 2*hosts >= controls, fmt.Sprintf("of %d MB:%s", coreLimit>>20, text)}, nil
}
