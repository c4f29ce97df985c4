package listener

// format shapes an answer as one of the completion interfaces does.
type format interface {
	// end returns the last event of a stream.
	end(a *answer) completion
	// piece returns the event of one token.
	piece(a *answer, text string) completion
	// whole returns the answer at once.
	whole(a *answer, text string) completion
}

// chatFormat is the format of chat completions.
type chatFormat struct{}

// end implements format.
func (chatFormat) end(a *answer) completion {
	finish := a.finish()
	return a.completion(objectChatChunk, choice{Delta: &chatMessage{}, FinishReason: &finish})
}

// piece implements format.
func (chatFormat) piece(a *answer, text string) completion {
	return a.completion(objectChatChunk, choice{Delta: &chatMessage{Content: text, Role: "assistant"}})
}

// whole implements format.
func (chatFormat) whole(a *answer, text string) completion {
	finish := a.finish()
	c := a.completion(objectChat, choice{FinishReason: &finish, Message: &chatMessage{Content: text, Role: "assistant"}})
	c.Usage = &usage{CompletionTokens: a.sent}
	return c
}

// textFormat is the format of text completions.
type textFormat struct{}

// end implements format.
func (textFormat) end(a *answer) completion {
	finish, text := a.finish(), ""
	return a.completion(objectCompletion, choice{FinishReason: &finish, Text: &text})
}

// piece implements format.
func (textFormat) piece(a *answer, text string) completion {
	return a.completion(objectCompletion, choice{Text: &text})
}

// whole implements format.
func (textFormat) whole(a *answer, text string) completion {
	finish := a.finish()
	c := a.completion(objectCompletion, choice{FinishReason: &finish, Text: &text})
	c.Usage = &usage{CompletionTokens: a.sent}
	return c
}

// completion returns a message around one choice.
func (a *answer) completion(object string, c choice) completion {
	return completion{Choices: []choice{c}, Created: a.created, ID: a.id, Model: a.model, Object: object}
}
