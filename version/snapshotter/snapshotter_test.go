package snapshotter

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
)

// Guards against a daemon that reads the log again and again without a pause, as a response
// holds none of the records that are said to follow.
func TestReadWithoutTheRecordsThatFollowIsAnError(t *testing.T) {
	is := is.New(t)
	reads := 0
	read := func(context.Context, identifier.StreamName, identifier.Offset, int, time.Duration) (appender.Batch, error) {
		reads++
		if reads > 10 {
			t.Fatal("the log is read again and again")
		}
		return appender.Batch{NextOffset: 3}, nil
	}
	_, _, err := ReadNewest(context.Background(), read)
	is.True(err != nil)
}
