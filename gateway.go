package buckthorndyke

import "context"

// GenerateRequest is a caller's request to a model or adapter.
type GenerateRequest struct {
	Caller CallerRule
	ID     RequestID
	// MaxTokens bounds the answer, or is 0 for the rank's bound.
	MaxTokens int
	Model     ModelID
	Prompt    string
}

// CallRequest is a caller's call of a plain service.
type CallRequest struct {
	Call   ServiceCall
	Caller CallerRule
	// Key is the caller's Idempotency-Key, or empty.
	Key string
}

// Gateway serves callers, whatever the front end that decoded their requests.
type Gateway interface {
	// Authenticate returns the caller that holds token, or a *RefusalError.
	Authenticate(ctx context.Context, token string) (CallerRule, error)
	// Call calls a plain service. An error is a *RefusalError.
	Call(ctx context.Context, r CallRequest) (ServiceResponse, error)
	// Generate returns the answer as a stream that is carried on across runners.
	// An error, also of the stream's Next, is a *RefusalError.
	Generate(ctx context.Context, r GenerateRequest) (TokenStream, error)
	// Models returns the models and adapters that the caller may use.
	Models(ctx context.Context, caller CallerRule) ([]ModelRule, error)
}
