package standin

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

// CrashPrompt is the text that crashes an engine that runs a prompt with it.
const CrashPrompt = "crash-runner"

// TokenText returns the token with the given index of the answer to prompt. It
// depends on nothing else, so that a test can tell a whole answer to its own
// request.
func TokenText(model buckthorndyke.ModelID, prompt string, index int) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, prompt, index))
	return fmt.Sprintf("%06x ", sum&0xffffff)
}

// AnswerTokens returns the first n tokens of the answer to prompt.
func ResponseTokens(model buckthorndyke.ModelID, prompt string, n int) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = TokenText(model, prompt, i)
	}
	return tokens
}
