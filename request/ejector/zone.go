package ejector

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
)

const (
	// runningCost is the time that one running request of an upstream stands for: the
	// service time of 60 ms divided by the 6 slots of a server.
	runningCost = 10 * time.Millisecond
	// defaultZoneCost makes an upstream of another zone cost as much as one running
	// request.
	defaultZoneCost = runningCost
)

// DefaultZoneCost is a constant cost for all pairs of different zones.
func DefaultZoneCost(_ identifier.ServiceName, from, to identifier.ZoneName) time.Duration {
	if from == to {
		return 0
	}
	return defaultZoneCost
}

// zoneCosts returns the cost of the way to each zone of the upstreams of one service, as a
// number of running requests.
func (e *Ejector) zoneCosts(upstreams []registrar.Entry) map[identifier.ZoneName]float64 {
	if len(upstreams) == 0 {
		return nil
	}
	service := upstreams[0].Service
	from := e.EntryZone(service)
	costs := make(map[identifier.ZoneName]float64)
	for _, entry := range upstreams {
		_, ok := costs[entry.Zone]
		if !ok {
			costs[entry.Zone] = float64(e.ZoneCost(service, from, entry.Zone)) / float64(runningCost)
		}
	}
	return costs
}
