package messenger

import (
	"time"

	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/spiller"
)

func encodeZoneLoads(loads []spiller.ZoneLoad) (msgs []*peerv1.ZoneLoad) {
	for _, load := range loads {
		msgs = append(msgs, &peerv1.ZoneLoad{
			Service:           string(load.Service),
			Zone:              string(load.Zone),
			ArrivalsPerSecond: load.ArrivalRate,
			WaitUs:            load.Wait.Microseconds(),
			AgeMs:             load.Age.Milliseconds(),
			Daemons:           int64(load.Daemons),
		})
	}
	return msgs
}

func decodeZoneLoads(msgs []*peerv1.ZoneLoad) (loads []spiller.ZoneLoad) {
	for _, msg := range msgs {
		if msg.GetZone() == "" {
			continue // see encodeContentions
		}
		loads = append(loads, spiller.ZoneLoad{
			Service:     identifier.ServiceName(msg.GetService()),
			Zone:        identifier.ZoneName(msg.GetZone()),
			ArrivalRate: msg.GetArrivalsPerSecond(),
			Wait:        time.Duration(msg.GetWaitUs()) * time.Microsecond,
			Age:         time.Duration(msg.GetAgeMs()) * time.Millisecond,
			Daemons:     int(msg.GetDaemons()),
		})
	}
	return loads
}
