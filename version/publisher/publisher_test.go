package publisher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafraspass.dev/sassafraspass/connection/appender"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

// Guards against a publication that is checked against a configuration with records left
// out, and against reading the log again and again without a pause.
func TestCatchUpLeavesNoRecordOut(t *testing.T) {
	tests := []struct {
		name  string
		batch appender.Batch
	}{
		{"none of the records that follow", appender.Batch{NextOffset: 3}},
		{"not the first of them", appender.Batch{NextOffset: 3, Records: []appender.Record{{Offset: 2}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reads := 0
			p := &Publisher{Read: func(context.Context, identifier.StreamName, identifier.Offset, int, time.Duration) (appender.Batch, error) {
				reads++
				if reads > 10 {
					t.Fatal("the log is read again and again")
				}
				return test.batch, nil
			}}
			r := reducer.New(reducer.NewVersion())
			is.True(p.catchUp(context.Background(), r) != nil)
			is.Equal(r.Version().Number, identifier.NoOffset)
		})
	}
}
