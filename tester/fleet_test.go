package tester_test

import (
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

func TestFleet(t *testing.T) {
	t.Run("a request to a cold model is served through any entry VM", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := tester.NewFleet(t, tester.Config{Nodes: 3, Runners: 3})
			f.Apply(tester.Rules)
			f.AwaitServing()
			for node := range f.Nodes {
				answer := f.Generate(t.Context(), node, tester.UrgentToken, "hall", "hello")
				asserter.NoError(t, answer.Err)
				asserter.Equal(t, answer.Text, tester.AnswerTo("hall", "hello"))
			}
			asserter.Equal(t, f.Loads("hall"), 1)
		})
	})
	t.Run("a call with a key runs once through any entry VM", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := tester.NewFleet(t, tester.Config{Nodes: 3, Runners: 3})
			f.Apply(tester.Rules)
			f.AwaitServing()
			key := f.NewKey()
			for node := range f.Nodes {
				_, err := f.Call(t.Context(), node, tester.UrgentToken, key)
				asserter.NoError(t, err)
			}
			asserter.Equal(t, f.CallsByKey(key), 1)
		})
	})
	t.Run("an unknown model is refused as not run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := tester.NewFleet(t, tester.Config{Nodes: 1, Runners: 1})
			f.Apply(tester.Rules)
			f.AwaitServing()
			answer := f.Generate(t.Context(), 0, tester.UrgentToken, "none", "hello")
			asserter.Refused(t, answer.Err, buckthorndyke.CodeModelUnknown, buckthorndyke.NotRun)
		})
	})
}
