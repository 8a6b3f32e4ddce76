package detector

import "math"

// oddsRatios are the alternatives that the bets are spread over, as ratios of
// the odds of a bad event to those at the limit. Spreading over n alternatives
// costs a factor of n in evidence against the best of them.
var oddsRatios = [...]float64{1.3, 1.7, 2.5, 4, 8, 20}

type (
	// bets are the logarithms of the factors by which the wealth of each bet
	// grows with a bad and with a good event. The expected growth is one at
	// the limit and below one on the side of the hypothesis.
	bets [len(oddsRatios)]struct{ bad, good float64 }

	// wealths are the logarithms of the wealth of each bet.
	wealths [len(oddsRatios)]float64
)

// above returns bets against the hypothesis that the rate is at most the limit.
func above(limit float64) bets { return against(limit, func(r float64) float64 { return r }) }

// below returns bets against the hypothesis that the rate is at least the
// limit.
func below(limit float64) bets { return against(limit, func(r float64) float64 { return 1 / r }) }

func against(limit float64, ratio func(float64) float64) (b bets) {
	for i, r := range oddsRatios {
		odds := ratio(r) * limit / (1 - limit)
		rate := odds / (1 + odds)
		b[i].bad = math.Log(rate / limit)
		b[i].good = math.Log((1 - rate) / (1 - limit))
	}
	return b
}

// logWealth returns the wealth of each bet after the counts.
func (b bets) logWealth(c Counts) (w wealths) {
	for i := range b {
		w[i] = float64(c.Bad)*b[i].bad + float64(c.All-c.Bad)*b[i].good
	}
	return w
}

// logMean returns the logarithm of the mean wealth.
func logMean(w wealths) float64 {
	top := math.Inf(-1)
	for _, x := range w {
		top = max(top, x)
	}
	if math.IsInf(top, -1) {
		return top
	}
	sum := 0.0
	for _, x := range w {
		sum += math.Exp(x - top)
	}
	return top + math.Log(sum/float64(len(w)))
}
