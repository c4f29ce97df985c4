package listener

import (
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
)

// Object names of the completion interface.
const (
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	objectCompletion = "text_completion"
)

// Reasons for the end of an answer.
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
// parameters are left to the engines' defaults.
type generateBody struct {
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	MaxTokens           int           `json:"max_tokens"`
	Messages            []chatMessage `json:"messages"`
	Model               string        `json:"model"`
	N                   int           `json:"n"`
	Prompt              string        `json:"prompt"`
	Stream              bool          `json:"stream"`
}

// limit returns the bound on the answer's tokens, or 0 if the caller set none.
func (b generateBody) limit() int {
	if b.MaxCompletionTokens > 0 {
		return b.MaxCompletionTokens
	}
	return b.MaxTokens
}

// prompt returns the conversation or the prompt as one text.
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

// refusal returns why the body cannot be served, or nil.
func (b generateBody) refusal() error {
	var cause string
	switch {
	case b.Model == "":
		cause = `"model" is missing`
	case b.prompt() == "":
		cause = `"messages" or "prompt" is missing`
	case b.N > 1:
		cause = `"n" is more than 1; send one request for each answer`
	case b.limit() < 0:
		cause = `"max_tokens" is negative`
	default:
		return nil
	}
	return buckthorndyke.NewRefusal(buckthorndyke.CodeBadRequest, buckthorndyke.NotRun, cause)
}

// choice is one answer, or a piece of it.
type choice struct {
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
}

// completion is an answer, or a piece of one.
type completion struct {
	Choices []choice `json:"choices"`
	// Created is in seconds since the Unix epoch.
	Created int64  `json:"created"`
	ID      string `json:"id"`
	Model   string `json:"model"`
	Object  string `json:"object"`
	Usage   *usage `json:"usage,omitempty"`
}

// usage counts the tokens of an answer.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// errorBody reports a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is a refusal in the form that clients of hosted models read.
type errorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
	Type         string `json:"type"`
	Verdict      string `json:"verdict"`
}

// modelList lists the models that a caller may use.
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
