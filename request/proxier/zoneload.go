package proxier

import (
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/spiller"
)

// beginZoneLoad tells BeginHop of a hop to a plain server. The returned function, to be
// called with the result, tells how the hop ended.
func (p *Proxier) beginZoneLoad(rs *requestState, upstream registrar.Entry, stage Stage) (end func(r *hopResult)) {
	if p.BeginHop == nil || stage != StagePlain || rs.service.Engine != nil {
		return func(*hopResult) {}
	}
	sentAt := p.Clock.Now()
	endHop := p.BeginHop(upstream)
	return func(r *hopResult) {
		size := int64(len(rs.req.Body))
		if r.response != nil {
			size += max(int64(len(r.body)), r.response.ContentLength)
		}
		endHop(spiller.Outcome{Took: p.Clock.Since(sentAt), Bytes: size, Rejected: r.notRun})
	}
}
