package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a VM that stays off the list for as long as daemons usually wait between two
// reads, because the store came back from a copy without its entry.
func TestListOfVMsIsReadSoonerAfterTheLogCameBack(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	for range 100 {
		vms := newVMListTracker()
		is.True(vms.tryStartRead(now, nonHubListInterval))
		is.True(!vms.tryStartRead(now.Add(hubListInterval), nonHubListInterval))
		vms.advanceRead(now, hubListInterval, nonHubListInterval)
		is.True(vms.tryStartRead(now.Add(hubListInterval), nonHubListInterval))
	}
}
