package translator_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/translator"
)

// TestAllotments guards against a field of reports and replies that is lost between VMs.
func TestAllotments(t *testing.T) {
	t.Run("a report keeps what a VM has used", func(t *testing.T) {
		report := buckthorndyke.DemandReport{
			Allotments: []buckthorndyke.AllotmentUse{{
				Asked: 1, Caller: "c", Filled: 2, Limit: 3, Share: 0.25, Spent: 4, Waiting: 5,
			}},
			Granted: true, Incarnation: 6, LeaderPosition: 8, Number: 7,
		}
		asserter.Equal(t, translator.DemandReportFromWire(translator.DemandReportToWire("vm-1", report)), report)
	})
	t.Run("a reply keeps the grants", func(t *testing.T) {
		grants := []buckthorndyke.AllotmentGrant{{Caller: "c", Limit: 1, RoomIn: 2, Share: 0.25}}
		reply := translator.DemandReplyFromWire(translator.DemandReplyToWire(buckthorndyke.DemandReply{Allotments: grants, LeaderPosition: 3}))
		asserter.Equal(t, reply.Allotments, grants)
		asserter.Equal(t, reply.LeaderPosition, 3)
	})
	t.Run("a used-up allotment is answered with 429, an unknown one with 503", func(t *testing.T) {
		for code, status := range map[buckthorndyke.Code]int{
			buckthorndyke.CodeAllotmentExceeded: 429, buckthorndyke.CodeAllotmentUnknown: 503,
		} {
			asserter.Equal(t, translator.HTTPStatus(buckthorndyke.NewRefusal(code, buckthorndyke.NotRun, "")), status)
		}
	})
}
