package standin

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

// CrashPrompt crashes the engine that runs a job whose prompt contains it.
const CrashPrompt = "crash-runner"

// TokenText returns the text of the token at index in the response to prompt. It
// depends only on its arguments, so that a test can check that a response is
// complete and belongs to its request.
func TokenText(model buckthorndyke.ModelID, prompt string, index int) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, prompt, index))
	return fmt.Sprintf("%06x ", sum&0xffffff)
}

// ResponseTokens returns the first n tokens of the response to prompt.
func ResponseTokens(model buckthorndyke.ModelID, prompt string, n int) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = TokenText(model, prompt, i)
	}
	return tokens
}
