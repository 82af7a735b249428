package authenticator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/version/parser"
)

// Format is the API format of a completion request.
type Format string

// The formats of completion requests.
const (
	FormatText Format = "text"
	FormatChat Format = "chat"
)

// defaultMaxOutput is the output limit, in tokens, if the profile sets none.
const defaultMaxOutput = 256

// Completion is a validated completion request.
type Completion struct {
	Model identifier.ModelName
	// Prompt is the text of the prompt. For a chat, it holds the role and the text of
	// each message.
	Prompt string
	// MaxOutput is the output limit that the request sets, zero if it sets none.
	MaxOutput identifier.Tokens
	Stream    bool
}

// completionBody is a request body in the format of the OpenAI API. Other fields
// are ignored, because client libraries send many.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// ParseCompletion parses and validates the body of a completion request. It returns a
// MalformedBody refusal if the body is invalid.
func ParseCompletion(format Format, raw []byte) (Completion, *refuser.Refusal) {
	var body completionBody
	err := json.Unmarshal(raw, &body)
	if err != nil {
		return Completion{}, malformedBodyRefusal("the body is not a completion request: %s", err)
	}
	c := Completion{Model: identifier.ModelName(body.Model), Stream: body.Stream}
	c.Prompt, err = extractPrompt(format, body)
	switch {
	case err != nil:
		return Completion{}, malformedBodyRefusal("%s", err)
	case body.Model == "":
		return Completion{}, malformedBodyRefusal("\"model\" is missing")
	case body.N != nil && *body.N != 1:
		return Completion{}, malformedBodyRefusal("\"n\" must be 1")
	}
	limit := body.MaxTokens
	if limit == nil {
		limit = body.MaxCompletionTokens
	}
	if limit != nil && *limit <= 0 {
		return Completion{}, malformedBodyRefusal("\"max_tokens\" must be above 0")
	}
	if limit != nil {
		c.MaxOutput = identifier.Tokens(*limit)
	}
	return c, nil
}

func extractPrompt(format Format, body completionBody) (prompt string, err error) {
	if format == FormatText {
		err = json.Unmarshal(body.Prompt, &prompt)
		if err != nil || prompt == "" {
			return "", fmt.Errorf("\"prompt\" must be a string that is not empty")
		}
		return prompt, nil
	}
	if len(body.Messages) == 0 {
		return "", fmt.Errorf("\"messages\" must not be empty")
	}
	var text strings.Builder
	for i, message := range body.Messages {
		content, err := extractContent(message.Content)
		if err != nil {
			return "", fmt.Errorf("\"messages\"[%d]: %w", i, err)
		}
		fmt.Fprintf(&text, "%s: %s\n", message.Role, content)
	}
	return text.String(), nil
}

// extractContent returns the text of a content field, which is a string or a list
// of text parts.
func extractContent(raw json.RawMessage) (content string, err error) {
	err = json.Unmarshal(raw, &content)
	if err == nil {
		return content, nil
	}
	var parts []chatPart
	err = json.Unmarshal(raw, &parts)
	if err != nil {
		return "", fmt.Errorf("\"content\" must be a string or a list of text parts")
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "", fmt.Errorf("a part of type %q is not supported", part.Type)
		}
		content += part.Text
	}
	return content, nil
}

// OutputLimit returns the largest output of a request under a profile: the smaller of
// the request's limit and the profile's, which is defaultMaxOutput if it sets none.
func (c Completion) OutputLimit(profile parser.Profile) identifier.Tokens {
	limit := profile.MaxOutput
	if limit == 0 {
		limit = defaultMaxOutput
	}
	if c.MaxOutput == 0 {
		return limit
	}
	return min(c.MaxOutput, limit)
}

// ReservedTokens returns the tokens that a request reserves from its workspace's
// limit: its prompt and its largest output.
func (c Completion) ReservedTokens(profile parser.Profile) identifier.Tokens {
	return dispatcher.CountTokens(c.Prompt) + c.OutputLimit(profile)
}

func malformedBodyRefusal(format string, args ...any) *refuser.Refusal {
	return refuser.New(http.StatusBadRequest, refuser.MalformedBody, format, args...)
}
