package listener

import (
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
)

// Values of the "object" field of completions.
const (
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	objectCompletion = "text_completion"
)

// Values of the "finish_reason" field of choices.
const (
	finishLength = "length"
	finishStop   = "stop"
)

// chatMessage is one message of a conversation.
type chatMessage struct {
	Content string `json:"content"`
	Role    string `json:"role,omitempty"`
}

// generateBody is the body of a chat or text completion request. Sampling
// parameters are ignored: the engines' defaults apply.
type generateBody struct {
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	MaxTokens           int           `json:"max_tokens"`
	Messages            []chatMessage `json:"messages"`
	Model               string        `json:"model"`
	N                   int           `json:"n"`
	Prompt              string        `json:"prompt"`
	Stream              bool          `json:"stream"`
}

// maxTokens returns the maximum length of the response in tokens, or 0 if the
// caller set none.
func (b generateBody) maxTokens() int {
	if b.MaxCompletionTokens > 0 {
		return b.MaxCompletionTokens
	}
	return b.MaxTokens
}

// prompt returns the messages as one text, or the prompt if there are none.
func (b generateBody) prompt() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var s strings.Builder
	for _, m := range b.Messages {
		s.WriteString(m.Role)
		s.WriteString(": ")
		s.WriteString(m.Content)
		s.WriteString("\n")
	}
	return s.String()
}

// validate returns a *buckthorndyke.RefusalError if the request cannot be served.
func (b generateBody) validate() error {
	var cause string
	switch {
	case b.Model == "":
		cause = `"model" is missing from the request body`
	case b.prompt() == "":
		cause = `the request body has neither "messages" nor "prompt", or they are empty`
	case b.N > 1:
		cause = `"n" is more than 1; send one request for each completion`
	case b.maxTokens() < 0:
		cause = `"max_tokens" is negative; expected 0 or more`
	default:
		return nil
	}
	return buckthorndyke.NewRefusal(buckthorndyke.CodeBadRequest, buckthorndyke.NotRun, cause)
}

// choice is the content of a completion, or of one chunk of it.
type choice struct {
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
}

// completion is the body of an unstreamed response, or one event of a stream.
type completion struct {
	Choices []choice `json:"choices"`
	// Created is in seconds since the Unix epoch.
	Created int64  `json:"created"`
	ID      string `json:"id"`
	Model   string `json:"model"`
	Object  string `json:"object"`
	Usage   *usage `json:"usage,omitempty"`
}

// usage is the number of tokens that a completion consists of.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// errorBody is the response body that reports a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is a refusal in the format of completion APIs, with additional
// fields.
type errorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
	Type         string `json:"type"`
	Verdict      string `json:"verdict"`
}

// modelList is the response body that lists the models a caller may use.
type modelList struct {
	Data   []modelEntry `json:"data"`
	Object string       `json:"object"`
}

// modelEntry is one model or adapter.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}
