package buckthorndyke_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestRequestFingerprint(t *testing.T) {
	request := buckthorndyke.RelayRequest{
		Body: []byte("b"), Deadline: 1, Host: "h", ID: "1", Method: "POST", Model: "m",
		Prompt: []buckthorndyke.PromptPart{{ID: "p", Tokens: 1}}, Target: "/t",
	}
	t.Run("a request that is sent again has the same", func(t *testing.T) {
		again := request.WithLastEventID("3")
		again.ID, again.Deadline, again.Arrived = "2", 2, 3
		asserter.Equal(t, again.Fingerprint(), request.Fingerprint())
	})
	t.Run("the parts of a prompt but the last have their own", func(t *testing.T) {
		one, two := request, request
		one.Prompt = []buckthorndyke.PromptPart{{ID: "p", Tokens: 1}, {ID: "q"}, {ID: "last"}}
		two.Prompt = []buckthorndyke.PromptPart{{ID: "q"}, {ID: "p", Tokens: 2}, {ID: "other"}}
		got, other := one.Fingerprints(), two.Fingerprints()
		asserter.Equal(t, len(got), 3)
		asserter.Equal(t, got[2], one.Fingerprint())
		asserter.Equal(t, got[:2], []buckthorndyke.Fingerprint{other[1], other[0]})
		asserter.Equal(t, request.Fingerprints(), []buckthorndyke.Fingerprint{request.Fingerprint()})
	})
	t.Run("other content has another", func(t *testing.T) {
		for _, change := range []func(r *buckthorndyke.RelayRequest){
			func(r *buckthorndyke.RelayRequest) { r.Body = []byte("c") },
			func(r *buckthorndyke.RelayRequest) { r.Model = "n" },
			func(r *buckthorndyke.RelayRequest) { r.Adapter = "a" },
			func(r *buckthorndyke.RelayRequest) { r.Prompt = nil },
			func(r *buckthorndyke.RelayRequest) { r.Target = "/u" },
			func(r *buckthorndyke.RelayRequest) { r.Host = "i" },
			func(r *buckthorndyke.RelayRequest) { r.Method, r.Host = "POSTh", "" },
		} {
			other := request
			change(&other)
			asserter.True(t, other.Fingerprint() != request.Fingerprint(), "two contents have one fingerprint")
		}
	})
}
