package placer

import "sassafraspass.dev/sassafraspass/identifier"

// A pool counts as uneven from unevenFraction of its engines being slow on, until fewer
// than evenFraction are.
const (
	unevenFraction = 0.15
	evenFraction   = 0.05
)

// SetCompeting tells whether the routes of a service have different priorities.
func (p *Placer) SetCompeting(service identifier.ServiceName, isCompeting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.competing[service] = isCompeting
}

// updateChoice sets the choice of a service's pool. The caller holds the lock.
func (p *Placer) updateChoice(service identifier.ServiceName, pool *Pool) {
	if p.Choice != ChoiceAuto {
		pool.Choice = p.Choice
		return
	}
	slowest := max(pool.prefillSpeeds.SlowFraction(), pool.decodeSpeeds.SlowFraction())
	pool.isUneven = slowest >= unevenFraction || (pool.isUneven && slowest >= evenFraction)
	pool.Choice = ChoicePooled
	if p.competing[service] || pool.isUneven {
		pool.Choice = ChoiceBySpeed
	}
}
