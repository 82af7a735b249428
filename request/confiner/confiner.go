// Package confiner keeps requests in their home regions. A route and a workspace may each
// list the regions to whose upstreams a request may be sent.
package confiner

import (
	"slices"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// Homes are the regions in which a request may be served. The zero value allows all.
type Homes struct {
	isRestricted bool
	regions      []identifier.RegionName
}

// HomesOf returns the homes for a request. If both the route and the workspace list regions,
// only those in both lists are homes.
func HomesOf(route parser.Route, workspace parser.Workspace) Homes {
	switch {
	case len(route.AllowedRegions) == 0 && len(workspace.AllowedRegions) == 0:
		return Homes{}
	case len(workspace.AllowedRegions) == 0:
		return Homes{isRestricted: true, regions: route.AllowedRegions}
	case len(route.AllowedRegions) == 0:
		return Homes{isRestricted: true, regions: workspace.AllowedRegions}
	}
	both := Homes{isRestricted: true}
	for _, region := range route.AllowedRegions {
		if slices.Contains(workspace.AllowedRegions, region) {
			both.regions = append(both.regions, region)
		}
	}
	return both
}

// HomesOfAll returns the homes of any of the given routes, and all regions if one of the
// routes has no homes or there are no routes.
func HomesOfAll(routes []parser.Route) Homes {
	union := Homes{isRestricted: len(routes) > 0}
	for _, route := range routes {
		if len(route.AllowedRegions) == 0 {
			return Homes{}
		}
		union.regions = append(union.regions, route.AllowedRegions...)
	}
	return union
}

// IsRestricted reports whether some regions are not homes.
func (h Homes) IsRestricted() bool { return h.isRestricted }

// Add returns the homes with another region, if they are restricted.
func (h Homes) Add(region identifier.RegionName) Homes {
	if h.isRestricted && region != "" {
		h.regions = append(slices.Clone(h.regions), region)
	}
	return h
}

// Confiner knows the region of each zone.
type Confiner struct {
	// RegionOf returns the region of a zone, or "" if it is unknown.
	RegionOf func(zone identifier.ZoneName) identifier.RegionName
}

// New returns a confiner that knows no regions.
func New() *Confiner {
	return &Confiner{RegionOf: func(identifier.ZoneName) identifier.RegionName { return "" }}
}

// IsHome reports whether a zone is in a home region. A zone whose region is unknown is not,
// unless all regions are homes.
func (c *Confiner) IsHome(homes Homes, zone identifier.ZoneName) bool {
	if !homes.isRestricted {
		return true
	}
	region := c.RegionOf(zone)
	return region != "" && slices.Contains(homes.regions, region)
}

// AtHome returns the upstreams in home regions.
func (c *Confiner) AtHome(homes Homes, upstreams []registrar.Entry) (atHome []registrar.Entry) {
	if !homes.isRestricted {
		return upstreams
	}
	for _, upstream := range upstreams {
		if c.IsHome(homes, upstream.Zone) {
			atHome = append(atHome, upstream)
		}
	}
	return atHome
}

// Away returns the names of the upstreams outside of home regions.
func (c *Confiner) Away(homes Homes, upstreams []registrar.Entry) (names []identifier.UpstreamName) {
	if !homes.isRestricted {
		return nil
	}
	for _, upstream := range upstreams {
		if !c.IsHome(homes, upstream.Zone) {
			names = append(names, upstream.Name)
		}
	}
	return names
}
