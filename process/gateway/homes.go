package gateway

import (
	"cmp"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/confiner"
)

func (g *Gateway) wireConfiner() {
	g.confiner = confiner.New()
	g.confiner.RegionOf = func(zone identifier.ZoneName) identifier.RegionName {
		return g.settings.Load().Gateway.Zones[zone]
	}
}

// directoryHomes returns the regions of the daemons to which a caller is directed.
func (g *Gateway) directoryHomes(query DirectoryQuery) confiner.Homes {
	homes := confiner.HomesOfAll(g.router.Load().HostRoutes(query.Host))
	return homes.Add(cmp.Or(query.Region, g.confiner.RegionOf(query.Zone)))
}
