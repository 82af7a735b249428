// Package speedometer estimates the speed of each engine of a pool from samples. An
// engine without samples has the mean speed of its peers. It tells a slow stretch of an
// engine from a slow engine by how long the samples stay low.
package speedometer

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

// Rate is a speed in tokens per second.
type Rate float64

const (
	// priorSamples is the number of samples that the mean of the peers counts for in the
	// estimate of an engine.
	priorSamples = 0.5
	// minWeight is the smallest weight of a new sample.
	minWeight = 0.1
	// maxSampleFactor bounds a sample to this multiple, and this fraction, of the current
	// estimate. A prompt that the engine has in its cache gives a sample that is about 50
	// times too high.
	maxSampleFactor = 4
	// minStretchSamples is the number of samples from which on slow stretches are told
	// from slow engines. An engine slower than stretchRatio of its own speed is in a
	// stretch, until it has been for maxStretch, which is above the 600 ms that are seen.
	minStretchSamples = 4
	stretchRatio      = 0.6
	maxStretch        = 1500 * time.Millisecond
	// stretchMemory is how long after its last low sample an engine counts as slow.
	stretchMemory = 300 * time.Millisecond
	// An engine is slow from slowRatio of the mean of its peers on down, until it is above
	// normalRatio.
	slowRatio   = 0.6
	normalRatio = 0.7
)

// speed is what is known about one engine.
type speed struct {
	rate    Rate
	samples int
	// slowSince is when the samples began to be low, zero if the last one was not.
	// slowAt is the time of the last one, and slowRate its value.
	slowSince time.Time
	slowAt    time.Time
	slowRate  Rate
	// isSlow is set while the engine is slow compared with its peers.
	isSlow bool
}

// Speedometer estimates the speeds of engines of one role. It is not safe for
// concurrent use.
type Speedometer struct {
	initial Rate
	speeds  map[identifier.UpstreamName]*speed
	// sum is that of the rates in speeds.
	sum Rate
}

// New returns a speedometer that assumes an initial rate until the first sample.
func New(initial Rate) *Speedometer {
	return &Speedometer{initial: initial, speeds: make(map[identifier.UpstreamName]*speed)}
}

// Mean returns the mean rate of the engines with samples.
func (m *Speedometer) Mean() Rate {
	if len(m.speeds) == 0 {
		return m.initial
	}
	return m.sum / Rate(len(m.speeds))
}

// Rate returns the current rate of an engine, which is lower in a slow stretch.
func (m *Speedometer) Rate(name identifier.UpstreamName, now time.Time) Rate {
	s, ok := m.speeds[name]
	switch {
	case !ok:
		return m.Mean()
	case !s.slowSince.IsZero() && now.Sub(s.slowAt) < stretchMemory:
		return s.slowRate
	}
	return s.rate
}

// Record adds a sample of an engine's rate. It ignores samples that are not positive. It
// returns true if the engine became slow compared with its peers, or is no longer.
func (m *Speedometer) Record(name identifier.UpstreamName, sample Rate, now time.Time) (changed bool) {
	if !(sample > 0) {
		return false
	}
	s, ok := m.speeds[name]
	if !ok {
		s = &speed{rate: m.Mean()}
		m.speeds[name] = s
		m.sum += s.rate
	}
	sample = min(max(sample, s.rate/maxSampleFactor), s.rate*maxSampleFactor)
	if s.isStretch(sample, now) {
		return false
	}
	s.samples++
	before := s.rate
	s.rate += Rate(max(minWeight, 1/(float64(s.samples)+priorSamples))) * (sample - s.rate)
	m.sum += s.rate - before
	wasSlow := s.isSlow
	switch {
	case s.samples < minStretchSamples:
	case s.rate < slowRatio*m.Mean():
		s.isSlow = true
	case s.rate > normalRatio*m.Mean():
		s.isSlow = false
	}
	return s.isSlow != wasSlow
}

// IsSlow reports whether an engine is slow compared with its peers.
func (m *Speedometer) IsSlow(name identifier.UpstreamName) bool {
	s, ok := m.speeds[name]
	return ok && s.isSlow
}

// isStretch reports whether a sample belongs to a slow stretch, which does not change
// the engine's rate.
func (s *speed) isStretch(sample Rate, now time.Time) bool {
	if s.samples < minStretchSamples || sample >= stretchRatio*s.rate {
		s.slowSince = time.Time{}
		return false
	}
	if s.slowSince.IsZero() {
		s.slowSince = now
	}
	s.slowAt, s.slowRate = now, sample
	return now.Sub(s.slowSince) < maxStretch
}

// Forget removes the samples of an engine that has left or restarted.
func (m *Speedometer) Forget(name identifier.UpstreamName) {
	s, ok := m.speeds[name]
	if ok {
		m.sum -= s.rate
		delete(m.speeds, name)
	}
}
