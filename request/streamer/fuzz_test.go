package streamer

import "testing"

// FuzzParseEventID checks that an id that a caller sends to resume its stream is either
// rejected or the one that String wrote.
func FuzzParseEventID(f *testing.F) {
	for _, text := range []string{"", "1", "a-b-c-1", "a.b.1", "/1", "a/b/18446744073709551616", "a/b/9223372036854775807", "a/b/1000000000", "\x00", "a:-1"} {
		f.Add(text)
	}
	f.Add(EventID{}.String())
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseEventID(text)
		if err != nil {
			return
		}
		again, err := ParseEventID(id.String())
		if id.Index < 0 || id.Index > maxIndex {
			t.Fatalf("the index %d was accepted", id.Index)
		}
		if err != nil || again != id {
			t.Fatalf("%q became %v and then %v, %v", text, id, again, err)
		}
	})
}
