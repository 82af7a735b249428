package placer

import "sassafraspass.dev/sassafraspass/process/registrar"

// Grants bounds the requests that are granted to engines. The zero value sets no bound.
type Grants struct {
	// IsCold reports whether an engine is cold now. The others have no bound.
	IsCold func(engine registrar.Entry) bool
	// May reports whether an engine may get another request now, and Take counts one. Take
	// returns false if there is no room. They must not call the placer.
	May  func(engine registrar.Entry) bool
	Take func(engine registrar.Entry) bool
}

// isCold is called when the engines are configured, which is often enough, as May and Take
// bound nothing for an engine that is warm by now.
func (g Grants) isCold(engine registrar.Entry) bool {
	return g.IsCold != nil && g.IsCold(engine)
}

func (g Grants) mayTake(e *engine) bool {
	return !e.isCold || g.May(e.entry)
}

// takeBoth counts a request to both engines of a placement, which may be the same one.
func (g Grants) takeBoth(pl *placement) bool {
	if pl.decode.isCold && !g.Take(pl.decode.entry) {
		return false
	}
	return pl.prefill == pl.decode || !pl.prefill.isCold || g.Take(pl.prefill.entry)
}
