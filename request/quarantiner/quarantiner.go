// Package quarantiner finds the prompt parts that crash engines, so that requests
// with such a part can be refused.
package quarantiner

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
)

// Suspicion is the evidence that a prompt part crashes engines.
type Suspicion struct {
	Part identifier.PromptPartID
	// Crashes counts the engine crashes at the start of an output for a request with
	// the part, and Requests the different requests among them.
	Crashes  int
	Requests int
	// LastCrash is the time of the newest crash.
	LastCrash time.Time
	// Quarantined is set if requests with the part are refused.
	Quarantined bool
}
