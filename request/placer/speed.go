package placer

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/speedometer"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// prefillRateOf returns the tokens per second that a prefill engine reads.
func (p *Pool) prefillRateOf(e *engine, now time.Time) float64 {
	if p.Choice == ChoiceBySpeed {
		return float64(p.prefillSpeeds.Rate(e.entry.Name, now))
	}
	return p.prefillRate
}

// decodeRateOf returns the tokens per second of one request on a decode engine.
func (p *Pool) decodeRateOf(e *engine, now time.Time) float64 {
	if p.Choice == ChoiceBySpeed {
		return float64(p.decodeSpeeds.Rate(e.entry.Name, now))
	}
	return p.decodeRate
}

// rateOf returns the speed of an engine in its role.
func (p *Pool) rateOf(e *engine, now time.Time) float64 {
	if e.entry.Role == parser.RolePrefill {
		return p.prefillRateOf(e, now)
	}
	return p.decodeRateOf(e, now)
}

func (p *Pool) meanPrefillRate() float64 {
	if p.Choice == ChoiceBySpeed {
		return float64(p.prefillSpeeds.Mean())
	}
	return p.prefillRate
}

func (p *Pool) meanDecodeRate() float64 {
	if p.Choice == ChoiceBySpeed {
		return float64(p.decodeSpeeds.Mean())
	}
	return p.decodeRate
}

// SpeedChange says that an engine became slow compared with its peers, or is no longer.
type SpeedChange struct {
	Service identifier.ServiceName
	Engine  identifier.UpstreamName
	Role    parser.Role
	IsSlow  bool
	// Rate and MeanRate are in tokens per second.
	Rate     int
	MeanRate int
}

// recordSpeed adds a sample of an engine's rate.
func (p *Pool) recordSpeed(speeds *speedometer.Speedometer, e *engine, rate float64, now time.Time) {
	name := e.entry.Name
	if !speeds.Record(name, speedometer.Rate(rate), now) || p.Choice != ChoiceBySpeed {
		return
	}
	p.speedChanges = append(p.speedChanges, SpeedChange{
		Engine: name, Role: e.entry.Role, IsSlow: speeds.IsSlow(name), Rate: int(speeds.Rate(name, now)), MeanRate: int(speeds.Mean()),
	})
}

// TakeSpeedChanges returns the changes since the last call.
func (p *Pool) TakeSpeedChanges() []SpeedChange {
	changes := p.speedChanges
	p.speedChanges = nil
	return changes
}

// forgetSpeed forgets the speed of an engine that has left or restarted.
func (p *Pool) forgetSpeed(name identifier.UpstreamName) {
	p.prefillSpeeds.Forget(name)
	p.decodeSpeeds.Forget(name)
}

// tokensToRead returns the tokens that a prefill engine reads until the end of a new
// prefill, with those of the prompts before it. It returns zero if the engine probably
// has the prompt or is late, because the time of such a prefill says nothing about the
// engine's speed.
func (p *Pool) tokensToRead(req Request, e *engine, now time.Time) float64 {
	isLate := e.unread > 0 && e.busyUntil.Before(now)
	if isLate || req.Resumed || len(req.Avoid) > 0 {
		return 0
	}
	return tokens(req.PromptTokens) + max(0, e.busyUntil.Sub(now)).Seconds()*p.prefillRateOf(e, now)
}
