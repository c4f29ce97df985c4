package steward_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestLoads(t *testing.T) {
	t.Run("a burst for one cold model causes one load", func(t *testing.T) {
		inSite(t, standin.EngineConfig{}, func(s *site) {
			var tickets []buckthorndyke.Ticket
			for range 8 {
				tickets = append(tickets, s.ask(hall, buckthorndyke.RankOrdinary))
			}
			for _, ticket := range tickets {
				s.assertEvent(ticket, buckthorndyke.TicketGranted)
			}
			asserter.Equal(t, s.assertSafe().Loads[hall], 1)
		})
	})
	t.Run("an adapter is loaded after its base", func(t *testing.T) {
		inSite(t, standin.EngineConfig{}, func(s *site) {
			s.grant(organ, buckthorndyke.RankOrdinary)
			asserter.Equal(t, s.residents(), []buckthorndyke.ModelID{hall, organ})
		})
	})
	t.Run("a model in use is not evicted for another", func(t *testing.T) {
		inSite(t, standin.EngineConfig{}, func(s *site) {
			used, idle := s.grant(hall, buckthorndyke.RankOrdinary), s.grant(gym, buckthorndyke.RankOrdinary)
			idle.Close(buckthorndyke.TicketDone)
			s.grant(choir, buckthorndyke.RankOrdinary)
			asserter.Equal(t, s.residents(), []buckthorndyke.ModelID{choir, hall})
			used.Close(buckthorndyke.TicketDone)
			s.assertSafe()
		})
	})
}
