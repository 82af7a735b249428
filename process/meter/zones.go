package meter

// SetZoneShare sets the gauge of the fraction of a service's requests that leave one zone
// for another.
func (m *Meter) SetZoneShare(service, from, to string, share float64) {
	tags := map[string]string{"service": service, "from": from, "to": to}
	m.scope.Tagged(tags).Gauge("zone-share").Update(share)
}

// AddZoneBytes counts the bytes of one request to a plain server and of its response, and
// the request, by pair of zones.
func (m *Meter) AddZoneBytes(from, to string, bytes int64) {
	scope := m.scope.Tagged(map[string]string{"from": from, "to": to})
	scope.Counter("zone-requests").Inc(1)
	scope.Counter("zone-bytes").Inc(bytes)
}

// CountZoneShareChange counts one change of a share by its reason.
func (m *Meter) CountZoneShareChange(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("zone-share-changes").Inc(1)
}
