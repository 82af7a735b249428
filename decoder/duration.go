package decoder

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
)

// durationsAsText encodes and decodes a time.Duration as text with units, such as
// "1m30s".
var durationsAsText = json.JoinOptions(
	json.WithMarshalers(json.MarshalFunc(marshalDuration)),
	json.WithUnmarshalers(json.UnmarshalFunc(unmarshalDuration)),
)

func marshalDuration(d time.Duration) ([]byte, error) {
	return strconv.AppendQuote(nil, d.String()), nil
}

func unmarshalDuration(raw []byte, d *time.Duration) error {
	var text string
	err := json.Unmarshal(raw, &text)
	if err != nil {
		return err
	}
	*d, err = parseDuration(text)
	return err
}

// maxDuration is used for every longer duration.
const maxDuration = time.Duration(math.MaxInt64)

// parseDuration parses a duration. In addition to what time.ParseDuration accepts, a
// single number with a unit may have an exponent or be too large, as programs that
// print numbers in their shortest form write them.
func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err == nil {
		return d, nil
	}
	number, unit := text, time.Duration(0)
	for _, suffix := range []struct {
		text string
		unit time.Duration
	}{{"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}} {
		if strings.HasSuffix(text, suffix.text) {
			number, unit = strings.TrimSuffix(text, suffix.text), suffix.unit
			break
		}
	}
	count, parseErr := strconv.ParseFloat(number, 64)
	isRangeErr := errors.Is(parseErr, strconv.ErrRange)
	if unit == 0 || (parseErr != nil && !isRangeErr) || math.IsNaN(count) {
		return 0, err
	}
	if math.Abs(count) >= float64(maxDuration)/float64(unit) {
		return time.Duration(math.Copysign(1, count)) * maxDuration, nil
	}
	return time.Duration(count * float64(unit)), nil
}

// Marshal encodes a value as JSON, with durations as text. Equal values have
// equal encodings.
func Marshal(value any) ([]byte, error) {
	return json.Marshal(value, json.Deterministic(true), durationsAsText)
}

// Unmarshal decodes JSON that Marshal has encoded. Unlike Decode, it accepts
// unknown fields.
func Unmarshal(data []byte, target any) error {
	return json.Unmarshal(data, target, durationsAsText)
}
