package router_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/supervisor/router"
)

var request = buckthorndyke.GenerateRequest{
	Caller: buckthorndyke.CallerRule{ID: "caller", Rank: buckthorndyke.RankUrgent},
	ID:     "request",
	Model:  "m",
	Prompt: "prompt",
}

// run runs test in a bubble with a new fixture.
func run(t *testing.T, name string, test func(t *testing.T, f *fixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(t, newFixture())
		})
	})
}

func TestGenerate(t *testing.T) {
	run(t, "an answer is whole", func(t *testing.T, f *fixture) {
		assertAnswer(t, f.start(t), request, "abcd")
		assertCount(t, f.closed, 1)
	})
	run(t, "a model without a rule is refused", func(t *testing.T, f *fixture) {
		ask := request
		ask.Model = "other"
		_, err := f.start(t).Generate(t.Context(), ask)
		assertRefusal(t, err, buckthorndyke.CodeModelUnknown, buckthorndyke.NotRun)
	})
}

// read reads an answer to its end.
func read(ctx context.Context, r *router.Router, ask buckthorndyke.GenerateRequest) (string, error) {
	stream, err := r.Generate(ctx, ask)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for {
		token, err := stream.Next(ctx)
		if err != nil || token.Last {
			return text.String(), errors.CombineErrors(err, stream.Close())
		}
		text.WriteString(token.Text)
	}
}

// assertAnswer checks that r answers ask with the whole text want.
func assertAnswer(t *testing.T, r *router.Router, ask buckthorndyke.GenerateRequest, want string) {
	t.Helper()
	got, err := read(t.Context(), r, ask)
	if err != nil || got != want {
		t.Fatalf("got answer %q and error %v, want %q", got, err, want)
	}
	synctest.Wait()
}

// assertCount checks how many records a fake holds.
func assertCount[V any](t *testing.T, records chan V, want int) {
	t.Helper()
	if len(records) != want {
		t.Errorf("got %d records, want %d", len(records), want)
	}
}

// assertRefusal checks the code and the verdict of an error.
func assertRefusal(t *testing.T, err error, code buckthorndyke.Code, verdict buckthorndyke.Verdict) {
	t.Helper()
	if err == nil {
		t.Fatalf("got no error, want %s (%s)", code, verdict)
	}
	refusal := buckthorndyke.RefusalOf(err)
	if refusal.Code() != code || refusal.Verdict() != verdict {
		t.Errorf("got %v, want %s (%s)", err, code, verdict)
	}
}
