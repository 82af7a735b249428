package admitter

import (
	"math"
	"time"
)

// average is a mean of samples whose weights halve with each halfLife.
type average struct {
	halfLife time.Duration

	sum       float64
	weight    float64
	decayedAt time.Time
}

func (a *average) decay(now time.Time) {
	elapsed := now.Sub(a.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / a.halfLife.Seconds())
	a.sum *= factor
	a.weight *= factor
	a.decayedAt = now
}

func (a *average) add(value float64, now time.Time) {
	a.decay(now)
	a.sum += value
	a.weight++
}

// mean returns the mean of the samples and of a prior value with the given weight.
func (a *average) mean(prior, priorWeight float64, now time.Time) float64 {
	a.decay(now)
	return (a.sum + prior*priorWeight) / (a.weight + priorWeight)
}
