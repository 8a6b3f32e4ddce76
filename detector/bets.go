package detector

import "math"

// oddsRatios are the alternatives to bet on, as ratios of the odds of a bad
// event to those at the limit. Betting on n alternatives costs a factor of n in
// evidence compared with betting only on the best of them.
var oddsRatios = [...]float64{1.3, 1.7, 2.5, 4, 8, 20}

type (
	// bets holds, for each alternative, the logarithms of the factors by which
	// the wealth of its bet is multiplied at a bad and at a good event. The
	// expected factor is one at the limit and below one for rates on the side
	// of the hypothesis.
	bets [len(oddsRatios)]struct{ bad, good float64 }

	// logWealths holds the logarithm of the wealth of each bet.
	logWealths [len(oddsRatios)]float64
)

// betsAbove returns bets against the hypothesis that the rate of bad events is
// at most the limit.
func betsAbove(limit float64) bets { return newBets(limit, func(r float64) float64 { return r }) }

// betsBelow returns bets against the hypothesis that the rate of bad events is
// at least the limit.
func betsBelow(limit float64) bets { return newBets(limit, func(r float64) float64 { return 1 / r }) }

func newBets(limit float64, ratio func(float64) float64) (b bets) {
	for i, oddsRatio := range oddsRatios {
		odds := ratio(oddsRatio) * limit / (1 - limit)
		rate := odds / (1 + odds)
		b[i].bad = math.Log(rate / limit)
		b[i].good = math.Log((1 - rate) / (1 - limit))
	}
	return b
}

// logWealths returns the logarithm of the wealth of each bet after the counts,
// from an initial wealth of one.
func (b bets) logWealths(c Counts) (w logWealths) {
	for i := range b {
		w[i] = float64(c.Bad)*b[i].bad + float64(c.All-c.Bad)*b[i].good
	}
	return w
}

// logMeanWealth returns the logarithm of the mean wealth without overflow.
func logMeanWealth(w logWealths) float64 {
	largest := math.Inf(-1)
	for _, x := range w {
		largest = max(largest, x)
	}
	if math.IsInf(largest, -1) {
		return largest
	}
	sum := 0.0
	for _, x := range w {
		sum += math.Exp(x - largest)
	}
	return largest + math.Log(sum/float64(len(w)))
}
