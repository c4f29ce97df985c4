package steward_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestLoads(t *testing.T) {
	t.Run("a burst of requests for one cold model causes one load", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			var tickets []buckthorndyke.Ticket
			for range 8 {
				tickets = append(tickets, f.requestTicket(hall, buckthorndyke.RankOrdinary))
			}
			for _, ticket := range tickets {
				f.assertEvent(ticket, buckthorndyke.TicketGranted)
			}
			asserter.Equal(t, f.assertSafe().Loads[hall], 1)
		})
	})
	t.Run("the base is loaded before its adapter", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			f.grant(organ, buckthorndyke.RankOrdinary)
			asserter.Equal(t, f.residents(), []buckthorndyke.ModelID{hall, organ})
		})
	})
	t.Run("a model in use is not evicted for another", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			used, idle := f.grant(hall, buckthorndyke.RankOrdinary), f.grant(gym, buckthorndyke.RankOrdinary)
			idle.Close(buckthorndyke.TicketDone)
			f.grant(choir, buckthorndyke.RankOrdinary)
			asserter.Equal(t, f.residents(), []buckthorndyke.ModelID{choir, hall})
			used.Close(buckthorndyke.TicketDone)
			f.assertSafe()
		})
	})
}
