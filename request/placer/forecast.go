package placer

import (
	"time"

	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/registrar"
	"sassafraspass.dev/sassafraspass/request/quarantiner"
)

// placement is a request assigned to a pair of engines, waiting or running.
type placement struct {
	key            Key
	promptTokens   float64
	expectedOutput float64
	// decodeStart is an estimate until the first event is reported, which sets
	// decoding.
	decodeStart time.Time
	decoding    bool
	// prefill reads the prompt. It is the decode engine if that reads it by itself.
	prefill *engine
	decode  *engine
	// prefillEntry and decodeEntry are those of the processes that it was placed on.
	prefillEntry registrar.Entry
	decodeEntry  registrar.Entry
	// prefillTime is the estimated duration of the prefill, which counts towards
	// the prefill engine's backlog.
	prefillTime time.Duration
	// tokensToRead is what the prefill engine reads until the end of the prefill, with
	// the prompts before it; zero if unknown.
	tokensToRead float64
	placedAt     time.Time
	prefilled    bool
	// parts and shape identify the request to the quarantiner. isStarting is set until
	// its output starts or it ends.
	parts      []identifier.PromptPartID
	shape      quarantiner.Shape
	isStarting bool
	// isOver is set once the request has ended or its output has reached
	// quarantiner.ProvenAge.
	isOver bool
}

// finalMemory returns the memory that the placement is expected to use at its end.
func (pl *placement) finalMemory() float64 {
	return pl.promptTokens + pl.expectedOutput + blockTokens
}

// outputAt estimates the output tokens produced up to the given time, at a decode
// rate in tokens per second.
func (pl *placement) outputAt(at time.Time, decodeRate float64) float64 {
	return max(0, decodeRate*at.Sub(pl.decodeStart).Seconds())
}

// expectedEnd estimates when the request ends. A request that already exceeds its
// expected output is expected to produce overrunFactor times its output so far,
// plus overrunTokens.
func (pl *placement) expectedEnd(now time.Time, decodeRate float64) time.Time {
	expectedOutput := pl.expectedOutput
	output := pl.outputAt(now, decodeRate)
	if output >= expectedOutput {
		expectedOutput = output*overrunFactor + overrunTokens
	}
	return pl.decodeStart.Add(duration(expectedOutput / decodeRate))
}

// peakMemory forecasts the highest total memory of the placements from now on, in
// tokens. The memory of each request grows until the request ends, so the total
// peaks just before one of them ends.
func peakMemory(placements []*placement, now time.Time, decodeRate float64) float64 {
	ends := make([]time.Time, len(placements))
	for i, pl := range placements {
		ends[i] = pl.expectedEnd(now, decodeRate)
	}
	highest := 0.0
	for _, at := range ends {
		sum := 0.0
		for i, pl := range placements {
			if !ends[i].Before(at) {
				sum += pl.promptTokens + pl.outputAt(at, decodeRate) + blockTokens
			}
		}
		highest = max(highest, sum)
	}
	return highest
}

// tokenSeconds returns the memory that a request uses, integrated over its decode
// time, in token-seconds.
func tokenSeconds(promptTokens, expectedOutput, decodeRate float64) float64 {
	return expectedOutput / decodeRate * (promptTokens + expectedOutput/2)
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// expectedOutput returns the output tokens planned for a request: its scaled
// output hint, at least 1 and at most its maximum output. Without a hint,
// unhintedOutputFraction of the maximum output takes its place.
func expectedOutput(req Request) float64 {
	hint := float64(req.OutputHint)
	if hint <= 0 {
		hint = float64(req.MaxOutput) * unhintedOutputFraction
	}
	return min(max(hint*hintFactor, 1), max(float64(req.MaxOutput), 1))
}

// tokens converts a token count to float64 for arithmetic.
func tokens(n identifier.Tokens) float64 {
	return float64(n)
}
