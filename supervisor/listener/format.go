package listener

// format builds response bodies for chat or for text completions.
type format interface {
	// finalChunk returns the event that ends a stream, with the finish reason.
	finalChunk(w *responseWriter) completion
	// tokenChunk returns the event for the text of one token.
	tokenChunk(w *responseWriter, text string) completion
	// unstreamedResponse returns the complete response with the given text.
	unstreamedResponse(w *responseWriter, text string) completion
}

// chatFormat is the format of chat completions.
type chatFormat struct{}

// finalChunk implements format.
func (chatFormat) finalChunk(w *responseWriter) completion {
	finish := w.finishReason()
	return w.completion(objectChatChunk, choice{Delta: &chatMessage{}, FinishReason: &finish})
}

// tokenChunk implements format.
func (chatFormat) tokenChunk(w *responseWriter, text string) completion {
	return w.completion(objectChatChunk, choice{Delta: &chatMessage{Content: text, Role: "assistant"}})
}

// unstreamedResponse implements format.
func (chatFormat) unstreamedResponse(w *responseWriter, text string) completion {
	finish := w.finishReason()
	c := w.completion(objectChat, choice{FinishReason: &finish, Message: &chatMessage{Content: text, Role: "assistant"}})
	c.Usage = &usage{CompletionTokens: w.sentTokens}
	return c
}

// textFormat is the format of text completions.
type textFormat struct{}

// finalChunk implements format.
func (textFormat) finalChunk(w *responseWriter) completion {
	finish, text := w.finishReason(), ""
	return w.completion(objectCompletion, choice{FinishReason: &finish, Text: &text})
}

// tokenChunk implements format.
func (textFormat) tokenChunk(w *responseWriter, text string) completion {
	return w.completion(objectCompletion, choice{Text: &text})
}

// unstreamedResponse implements format.
func (textFormat) unstreamedResponse(w *responseWriter, text string) completion {
	finish := w.finishReason()
	c := w.completion(objectCompletion, choice{FinishReason: &finish, Text: &text})
	c.Usage = &usage{CompletionTokens: w.sentTokens}
	return c
}

// completion returns a body with the given object name and c as its only choice.
func (w *responseWriter) completion(object string, c choice) completion {
	return completion{Choices: []choice{c}, Created: w.created, ID: w.id, Model: w.model, Object: object}
}
