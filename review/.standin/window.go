package main

import "time"

// garbleLength is the length of the site's disruption garble "extra late".
const garbleLength = 5 * time.Second

// window is a span of time.
type window struct{ from, until time.Time }

func garbleFrom(at time.Time) window { return window{at, at.Add(garbleLength)} }

func (w window) contains(at time.Time) bool { return !at.Before(w.from) && at.Before(w.until) }
