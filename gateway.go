package buckthorndyke

import "context"

// GenerateRequest is a caller's request to generate text with a model or adapter.
type GenerateRequest struct {
	Caller CallerRule
	ID     RequestID
	// MaxTokens is the maximum length of the response in tokens, or 0 for the
	// maximum of the caller's rank.
	MaxTokens int
	Model     ModelID
	Prompt    string
}

// CallRequest is a caller's call to a plain service.
type CallRequest struct {
	Call   ServiceCall
	Caller CallerRule
	// Key is the value of the Idempotency-Key header, or empty.
	Key string
}

// Gateway serves callers' requests. It is independent of the protocol that the
// requests were decoded from.
type Gateway interface {
	// Authenticate returns the caller that holds the key in credential, or a *RefusalError.
	Authenticate(ctx context.Context, credential Credential) (CallerRule, error)
	// Call calls a plain service. Its errors are *RefusalErrors.
	Call(ctx context.Context, r CallRequest) (ServiceResponse, error)
	// Generate returns the response as a stream, which continues on another runner
	// if one fails. Its errors and those of the stream's Next are *RefusalErrors.
	Generate(ctx context.Context, r GenerateRequest) (TokenStream, error)
	// Models returns the models and adapters that the caller may use.
	Models(ctx context.Context, caller CallerRule) ([]ModelRule, error)
}
