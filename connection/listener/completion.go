package listener

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"sassafraspass.dev/sassafraspass/connection/dispatcher"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/refuser"
	"sassafraspass.dev/sassafraspass/request/authenticator"
	"sassafraspass.dev/sassafraspass/request/streamer"
	"sassafraspass.dev/sassafraspass/version/reducer"
)

// headerLastEventID holds the id of the last event of a stream that the caller
// received.
const headerLastEventID = "Last-Event-ID"

// completionHandler returns the handler for completion requests in a format.
func (l *Listener) completionHandler(format authenticator.Format) handlerFunc {
	return func(w http.ResponseWriter, r *http.Request) *refuser.Refusal {
		if r.Method != http.MethodPost {
			return methodNotAllowed(r)
		}
		arrivedAt := l.Clock.Now()
		auth, refusal := l.authenticate(r)
		if refusal != nil {
			return refusal
		}
		defer auth.untrack()
		body, refusal := readBody(w, r)
		if refusal != nil {
			return refusal
		}
		c, refusal := authenticator.ParseCompletion(format, body)
		if refusal != nil {
			return refusal
		}
		service, ok := l.Version().ServiceForModel(c.Model)
		if !ok {
			return refuser.New(http.StatusNotFound, refuser.UnknownModel, "no service has the model %s", c.Model)
		}
		writer := newCompletionWriter(w, format, c)
		if lastEventID := r.Header.Get(headerLastEventID); lastEventID != "" {
			return l.resumeStream(auth, lastEventID, writer)
		}
		return l.serveCompletion(auth, arrivedAt, service, c, writer)
	}
}

// serveCompletion reserves the tokens of a completion, serves it and releases what
// it did not use.
func (l *Listener) serveCompletion(auth authenticatedRequest, arrivedAt time.Time, service reducer.ServiceWithProfile, c authenticator.Completion, writer *completionWriter) *refuser.Refusal {
	deadline := arrivedAt.Add(service.Profile.Timeout)
	reservation, refusal := l.reserve(auth.ctx, auth.caller.Workspace.Name, c.ReservedTokens(service.Profile), deadline)
	if refusal != nil {
		return refusal
	}
	result, refusal := l.Streamer.Serve(auth.ctx, streamer.Request{
		Workspace:          auth.caller.Workspace,
		Class:              service.Profile.Class,
		Model:              c.Model,
		Prompt:             c.Prompt,
		MaxOutput:          int(c.OutputLimit(service.Profile)),
		Arrived:            arrivedAt,
		FirstTokenDeadline: deadline,
	}, writer.writeToken)
	l.Limiter.Release(reservation, usedTokens(c, result, refusal))
	return writer.finish(result, refusal)
}

// usedTokens returns the tokens that a completion is charged for: prompt and
// output, or none if it did not run.
func usedTokens(c authenticator.Completion, result streamer.Result, refusal *refuser.Refusal) identifier.Tokens {
	if refusal != nil && refusal.NotRun {
		return 0
	}
	return dispatcher.CountTokens(c.Prompt) + identifier.Tokens(result.OutputTokens)
}

// resumeStream continues a stream after the event with the given id, also if another
// daemon served it before.
func (l *Listener) resumeStream(auth authenticatedRequest, lastEventID string, writer *completionWriter) *refuser.Refusal {
	id, err := streamer.ParseEventID(lastEventID)
	if err != nil || !writer.completion.Stream {
		return refuser.New(http.StatusBadRequest, refuser.ResumeMalformed, "only a stream can go on, with the id of its last event")
	}
	upstream, ok := l.Version().Upstream(id.Upstream)
	if !ok {
		return refuser.NewIndeterminate(http.StatusGone, refuser.ResumeUnknown, "the engine of this stream is gone")
	}
	l.OnResume(id)
	result, refusal := l.Streamer.Resume(auth.ctx, auth.caller.Workspace, upstream, id, writer.writeToken)
	return writer.finish(result, refusal)
}

// completionWriter writes the response to a completion request in the format that the
// caller asked for, either as a stream of events or as a single body at the end.
type completionWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	format     authenticator.Format
	completion authenticator.Completion
	// started is set when the header of a stream is written.
	started bool
	// text collects the output if the response is not a stream.
	text        strings.Builder
	lastEventID streamer.EventID
}

func newCompletionWriter(w http.ResponseWriter, format authenticator.Format, c authenticator.Completion) *completionWriter {
	return &completionWriter{w: w, controller: http.NewResponseController(w), format: format, completion: c}
}

// writeToken writes a token as an event and flushes it. If the response is not a
// stream, it adds the token to the text for the body.
func (cw *completionWriter) writeToken(token streamer.Token) error {
	cw.lastEventID = streamer.EventID{Upstream: token.Upstream, Attempt: token.Attempt, Index: token.Index}
	if !cw.completion.Stream {
		cw.text.WriteString(token.Text)
		return nil
	}
	cw.startStream()
	err := cw.writeEvent(cw.lastEventID.String(), cw.newChunk(token.Text, nil))
	if err != nil {
		return err
	}
	return cw.controller.Flush()
}

func (cw *completionWriter) startStream() {
	if cw.started {
		return
	}
	cw.started = true
	cw.w.Header().Set("Content-Type", "text/event-stream")
	cw.w.Header().Set("Cache-Control", "no-store")
	cw.w.WriteHeader(http.StatusOK)
}

func (cw *completionWriter) writeEvent(id string, data any) error {
	raw, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cw.w, "id: %s\ndata: %s\n\n", id, raw)
	return err
}

// finish ends the response. It returns the refusal, if any, for Listener.wrap to
// handle. If the stream has started, finish first writes the refusal as an error
// event; wrap then aborts the connection, so that the stream does not look complete.
func (cw *completionWriter) finish(result streamer.Result, refusal *refuser.Refusal) *refuser.Refusal {
	switch {
	case refusal != nil && !cw.started:
		return refusal
	case refusal != nil:
		_, _ = fmt.Fprintf(cw.w, "event: error\ndata: %s\n\n", refusal.JSON())
		_ = cw.controller.Flush()
		return refusal
	case cw.completion.Stream:
		cw.startStream()
		_ = cw.writeEvent(cw.lastEventID.String(), cw.newChunk("", &result.FinishReason))
		_, _ = fmt.Fprint(cw.w, "data: [DONE]\n\n")
		_ = cw.controller.Flush()
		return nil
	}
	writeJSON(cw.w, cw.newFullResponse(result))
	return nil
}

// completionResponse is a complete response, or one chunk of a stream, in the format
// of the OpenAI API.
type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func (cw *completionWriter) newChunk(text string, reason *string) completionResponse {
	choice := completionChoice{FinishReason: reason}
	object := "text_completion"
	if cw.format == authenticator.FormatChat {
		object = "chat.completion.chunk"
		choice.Delta = &chatMessage{Content: text}
	} else {
		choice.Text = &text
	}
	return cw.newResponse(object, choice)
}

func (cw *completionWriter) newFullResponse(result streamer.Result) completionResponse {
	text := cw.text.String()
	choice := completionChoice{FinishReason: &result.FinishReason}
	object := "text_completion"
	if cw.format == authenticator.FormatChat {
		object = "chat.completion"
		choice.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	response := cw.newResponse(object, choice)
	promptTokens := int64(dispatcher.CountTokens(cw.completion.Prompt))
	outputTokens := int64(result.OutputTokens)
	response.Usage = &completionUsage{PromptTokens: promptTokens, CompletionTokens: outputTokens, TotalTokens: promptTokens + outputTokens}
	return response
}

func (cw *completionWriter) newResponse(object string, choice completionChoice) completionResponse {
	return completionResponse{
		ID:      "cmpl-" + string(cw.lastEventID.Attempt),
		Object:  object,
		Model:   string(cw.completion.Model),
		Choices: []completionChoice{choice},
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
