package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/identifier"
)

// Guards against log lines that do not tell when a daemon has read a topic again after the log
// came back, and how long that took.
func TestFirstReadOfALaterEraIsTimed(t *testing.T) {
	is := is.New(t)
	in := identifier.NewPosition
	now := time.UnixMilli(0)
	var reads logReads
	reads.setEra(1, now)
	_, isFirst := reads.record(topicVersions, identifier.NoPosition, in(1, 5), in(1, 5), now)
	is.True(!isFirst) // it has just started
	reads.setEra(2, now.Add(time.Second))
	reads.setEra(2, now.Add(2*time.Second)) // heard again
	_, isFirst = reads.record(topicVersions, in(1, 5), in(1, 5), in(2, 3), now.Add(2*time.Second))
	is.True(!isFirst) // the log has not all records from there on
	took, isFirst := reads.record(topicVersions, identifier.NoPosition, in(2, 3), in(2, 3), now.Add(3*time.Second))
	is.True(isFirst)
	is.Equal(took, 2*time.Second)
	_, isFirst = reads.record(topicVersions, in(2, 3), in(2, 4), in(2, 4), now.Add(4*time.Second))
	is.True(!isFirst)
}
