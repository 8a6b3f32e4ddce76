package router_test

import (
	"context"
	"io"
	"maps"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/refuser"
	"foxtailwall/reporter"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

type (
	// delayedStream is a stream that advances the clock by the next gap before
	// each chunk.
	delayedStream struct {
		scriptedStream
		clock *timekeeper.Fake
		gaps  []time.Duration
	}

	// idLearner records the IDs under which answers may be rated.
	idLearner struct{ ids []string }
)

func (s *delayedStream) Next() (router.Chunk, error) {
	if len(s.gaps) > 0 {
		s.clock.Advance(s.gaps[0])
		s.gaps = s.gaps[1:]
	}
	return s.scriptedStream.Next()
}

func (l *idLearner) RecordStep(s router.StepRun)                  { l.ids = append(l.ids, s.ID) }
func (*idLearner) RecordRatingWait(declarer.Kind, bool)           {}
func (*idLearner) RecordRating(router.RateRequest, router.Rating) {}

var _ = Describe("objectives", func() {
	// Guards against objectives that read counters which the router does not
	// emit, and against a request, token or rating that is counted twice or under
	// the wrong workspace, code or version.
	It("emits the counters of the default objectives", func() {
		const ms = time.Millisecond
		scope, clock, learner := counter.NewTest(""), timekeeper.NewFake(time.Unix(1000, 0)), &idLearner{}
		r := newFixture(func(o *router.Options) { o.Scope, o.Clock, o.Learner = scope, clock, learner })
		chunk := router.Chunk{Data: []byte("x"), Tokens: 1}
		role := router.Chunk{Data: []byte("x")}
		for _, gaps := range [][]time.Duration{
			{0, 1400 * ms, 35 * ms, 36 * ms},
			{1000 * ms, 401 * ms, 20 * ms, 20 * ms},
		} {
			r.upstreams.open = func(context.Context, *router.Attempt) (router.Stream, error) {
				return &delayedStream{scriptedStream{chunks: []router.Chunk{role, chunk, chunk, chunk}, err: io.EOF}, clock, gaps}, nil
			}
			Expect(r.Stream(context.Background(), r.newChat(), &fakeSink{})).To(Succeed())
		}
		r.upstreams.open = func(context.Context, *router.Attempt) (router.Stream, error) {
			return &scriptedStream{err: io.EOF}, nil // An answer without tokens.
		}
		Expect(r.Stream(context.Background(), r.newChat(), &fakeSink{})).To(Succeed())
		q := r.newBooking("k")
		q.Path = "/none"
		_, err := r.Call(context.Background(), q)
		Expect(asRefusal(err).Code).To(Equal(refuser.UnknownService))
		Expect(learner.ids).To(HaveLen(3))
		r.CountRating(learner.ids[0], true)
		r.CountRating(learner.ids[1], false)
		r.CountRating(learner.ids[1], false)
		r.CountRating("unknown", false)

		got := map[string]float64{}
		for _, s := range scope.Snapshot() {
			for _, o := range reporter.Defaults() {
				if s.Name == o.Total || s.Name == o.Bad {
					Expect(s.Tags).To(HaveKeyWithValue("workspace", "w"))
					got[strings.Join([]string{s.Name, s.Tags["code"], s.Tags["version"]}, " ")] += s.Value
				}
			}
		}
		ref := (declarer.VersionRef{Model: "a", Version: "v1"}).String()
		want := map[string]float64{
			"router.requests  ": 4, "router.refusals unknownService ": 1,
			"router.streams  " + ref: 2, "router.slowFirst  " + ref: 1,
			"router.gaps  " + ref: 4, "router.slowGaps  " + ref: 1,
			"router.ratings  " + ref: 2, "router.failedRatings  " + ref: 1,
		}
		Expect(got).To(Equal(want), "%v", maps.Keys(got))
		for _, o := range reporter.Defaults() {
			for _, name := range []string{o.Total, o.Bad} {
				Expect(got).To(HaveKey(HavePrefix(name + " ")))
			}
		}
	})
})
