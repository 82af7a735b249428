package proxier

import (
	"errors"
	"net/http"
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/meter"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/refuser"
)

// errCold means that nothing was sent, because the upstream is cold and its rate is used up.
var errCold = errors.New("the upstream is cold and gets no more requests for now")

// takeCold counts a request to an upstream. It returns false if the upstream is cold and
// must not get another one now.
func (p *Proxier) takeCold(upstream registrar.Entry) bool {
	if p.Coldstarter.Take(upstream) {
		return true
	}
	p.Meter.CountEvent(meter.EventColdSkip)
	return false
}

// coldRefusal is the refusal if all upstreams that could serve a request are cold and their
// rates are used up.
func coldRefusal(service identifier.ServiceName, wait time.Duration) *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, refuser.UpstreamsCold, "the servers of service %s have just started and get no more requests for now", service).WithRetryAfter(wait)
}
