package admitter

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/ejector"
)

// Call is what a daemon sends to the one that admits the requests of a service.
type Call struct {
	Caller  identifier.Incarnation
	Zone    identifier.ZoneName
	Service identifier.ServiceName
	// Items holds all of the caller's requests that wait for a server.
	Items []Item
	// Reports holds all of the caller's requests that run, and those that have ended
	// since its last call.
	Reports []Report
	// Cancelled lists requests that no longer need a server. Those among them that were
	// admitted have not been sent.
	Cancelled []int64
}

// Item is one request that waits for a server.
type Item struct {
	// Number is unique among the requests of the caller.
	Number    int64
	Workspace identifier.WorkspaceName
	// Priority zero is the most urgent.
	Priority int
	// ToObjective is the time until the response is late, negative if it is, and
	// ToDeadline the time until nobody waits for it.
	ToObjective time.Duration
	ToDeadline  time.Duration
	// Avoid lists the servers that must not get the request.
	Avoid []identifier.UpstreamName
}

// Report is what a caller tells about a request that it has sent to a server.
type Report struct {
	Number   int64
	Upstream identifier.UpstreamName
	Outcome  ejector.Outcome
	// Took is the time from the send to the outcome.
	Took time.Duration
	// Age is the time since the outcome, or since the send for Running.
	Age time.Duration
}

// Running is the outcome of a request that has been admitted or sent and has not ended.
const Running ejector.Outcome = "running"

// Decision is the server that a request may be sent to, or the refusal of the request.
// Without either, the caller chooses a server by itself.
type Decision struct {
	Number   int64
	Upstream identifier.UpstreamName
	Refusal  *refuser.Refusal
	// Waited is how long the request has waited for the decision.
	Waited time.Duration
}
