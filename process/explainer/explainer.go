// Package explainer reconstructs the outcome of one request, and the state changes
// of its daemons that preceded it, from log files.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// stateChangeWindow is how long before a request the state changes of its
	// daemons are shown.
	stateChangeWindow = 15 * time.Second
	// maxStateChanges limits the state changes shown; the newest are kept.
	maxStateChanges = 12
	maxLineBytes    = 1 << 20
)

// stateChangeTexts are the texts that identify log lines about a change of a
// daemon's state. They stay as they are, so that logs of older builds can be
// read.
var stateChangeTexts = []string{
	"A version is in force", "An epoch began", "This daemon keeps the account", "The account of a workspace was not confirmed", "The store is", "A daemon is gone",
	"left out of the epoch", "The home of a workspace", "The daemon that places",
	"The daemon that admits", "The way in which servers are chosen", "is assumed to have fewer slots",
	"An address has another", "Connections were closed.", "The settings", "The share of requests between zones", "Leaving.", "Started.", "Stopped.",
	"The log came back from an older copy", "The log has not all records", "A topic was read after the log came back", "The log lost the epoch", "A version that was read is older",
	"A response of the log states no valid era", "Cannot propose an epoch", "A record of an upstream was carried out late", "The removal of an upstream is deferred",
	"A zone is evacuated", "The evacuation of a zone", "Upstreams are cold", "Upstreams are warm",
}

// line is one line of a log. Its source is the daemon that wrote it.
type line struct {
	timestamp time.Time
	source    string
	text      string
}

// Explanation describes what happened to a request.
type Explanation struct {
	// Lines are the log lines about the request and StateChanges those about
	// the state of its daemons, both in chronological order.
	Lines        []string
	StateChanges []string
	// Outcome describes how the request ended and why.
	Outcome string
}

// Explainer collects log lines to explain one request.
type Explainer struct {
	id    string
	lines []line
}

// New returns an explainer for the request with the given id.
func New(id string) *Explainer {
	return &Explainer{id: id}
}

var (
	timePattern  = regexp.MustCompile(`time=(\S+)`)
	fieldPattern = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// Read adds the lines of a log. Lines without a valid RFC 3339 time are
// skipped. The source names the daemon of lines that have nothing before their
// time. Other lines name their daemon in the last word before the time.
func (e *Explainer) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		match := timePattern.FindStringSubmatchIndex(text)
		if match == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339, text[match[2]:match[3]])
		if err != nil {
			continue
		}
		e.lines = append(e.lines, line{timestamp: at, source: sourceBeforeTime(source, text[:match[0]]), text: text[match[0]:]})
	}
	return scanner.Err()
}

// sourceBeforeTime returns the last word of the text before a line's time, or
// the given source if that text is empty.
func sourceBeforeTime(source, before string) string {
	words := strings.Fields(before)
	if len(words) == 0 {
		return source
	}
	return words[len(words)-1]
}

// Explain returns an explanation of the request. It reports false if no line
// has the request's id.
func (e *Explainer) Explain() (explanation Explanation, ok bool) {
	slices.SortStableFunc(e.lines, func(a, b line) int { return a.timestamp.Compare(b.timestamp) })
	var requestLines []line
	sources := make(map[string]bool)
	for _, l := range e.lines {
		if fieldValue(l.text, "id") == e.id {
			requestLines = append(requestLines, l)
			sources[l.source] = true
		}
	}
	if len(requestLines) == 0 {
		return explanation, false
	}
	for _, l := range requestLines {
		explanation.Lines = append(explanation.Lines, l.source+" "+l.text)
	}
	explanation.StateChanges = e.stateChangesAround(requestLines[0].timestamp, requestLines[len(requestLines)-1].timestamp, sources)
	explanation.Outcome = describeOutcome(requestLines)
	return explanation, true
}

// stateChangesAround returns the newest state changes of the given sources from
// stateChangeWindow before the time first until the time last.
func (e *Explainer) stateChangesAround(first, last time.Time, sources map[string]bool) (changes []string) {
	for _, l := range e.lines {
		isNear := !l.timestamp.Before(first.Add(-stateChangeWindow)) && !l.timestamp.After(last)
		if isNear && sources[l.source] && isStateChange(l.text) {
			changes = append(changes, l.source+" "+l.text)
		}
	}
	return changes[max(0, len(changes)-maxStateChanges):]
}

// isStateChange reports whether a line is about a change of a daemon's state.
func isStateChange(text string) bool {
	return slices.ContainsFunc(stateChangeTexts, func(s string) bool { return strings.Contains(text, s) })
}

// fieldValue returns the value of a line's field without quotes, or an empty
// string if the line does not have the field.
func fieldValue(text, name string) string {
	for _, match := range fieldPattern.FindAllStringSubmatch(text, -1) {
		if match[1] == name {
			return strings.Trim(match[2], `"`)
		}
	}
	return ""
}

// cutCause returns the error that cut off a response. The error of a single send
// to an upstream takes precedence over the error in the final line.
func cutCause(requestLines []line) string {
	cause := ""
	for _, l := range requestLines {
		value := fieldValue(l.text, "err")
		if value != "" && (cause == "" || !strings.Contains(l.text, "Cut.")) {
			cause = value
		}
	}
	return cause
}

// upstreamCauses names the causes for which an upstream was left out, by a text of the lines
// about that.
var upstreamCauses = []struct{ text, cause string }{
	{"code=zone-evacuated", "zone evacuated"},
	{"the zone of the upstream is evacuated", "zone evacuated"},
	{"code=upstreams-cold", "cold"},
	{"the upstream is cold", "cold"},
	{"code=no-home", "no home"},
}

// leftOutCause returns the cause for which an upstream of a request was left out, or an empty
// string if there was none.
func leftOutCause(requestLines []line) string {
	for _, l := range slices.Backward(requestLines) {
		for _, candidate := range upstreamCauses {
			if strings.Contains(l.text, candidate.text) {
				return candidate.cause
			}
		}
	}
	return ""
}

// describeOutcome returns a sentence on the outcome, and the cause for which an upstream was
// left out, if any.
func describeOutcome(requestLines []line) string {
	outcome := describeEnd(requestLines)
	cause := leftOutCause(requestLines)
	if cause != "" {
		outcome += "; an upstream was left out: " + cause
	}
	return outcome
}

// describeEnd returns a sentence on the outcome, taken from the last line that reports the
// end of the request.
func describeEnd(requestLines []line) string {
	for _, l := range slices.Backward(requestLines) {
		switch {
		case strings.Contains(l.text, "Refused."):
			return fmt.Sprintf("refused with status %s (%s) after %s ms: %s; not run: %s",
				fieldValue(l.text, "status"), fieldValue(l.text, "code"), fieldValue(l.text, "ms"), fieldValue(l.text, "reason"), fieldValue(l.text, "not-run"))
		case strings.Contains(l.text, "Cut."):
			return fmt.Sprintf("cut after %s ms at upstream %s: %s", fieldValue(l.text, "ms"), fieldValue(l.text, "upstream"), cutCause(requestLines))
		case strings.Contains(l.text, "Answered."):
			return fmt.Sprintf("answered with status %s by upstream %s after %s ms and %s hops",
				fieldValue(l.text, "status"), fieldValue(l.text, "upstream"), fieldValue(l.text, "ms"), fieldValue(l.text, "hops"))
		}
	}
	return "no line ends the request: its daemon stopped, was frozen, or dropped lines"
}
