package selector

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

// unreadWeight is the weight of the leader's last reply in the average of the other VMs'
// unread tokens. A single reply shows them as they were up to 1.6 s ago, which is longer than
// most prompts take to read; the average shows which servers usually have many.
const unreadWeight = 0.5

// othersUnread returns the prompt tokens of the other VMs' requests that a server has not
// begun to answer, or 0 if they are not known.
func (v View) othersUnread(id buckthorndyke.RunnerID, now buckthorndyke.Millis) int {
	if now >= v.otherVMsLoadsUntil {
		return 0
	}
	unread, _ := v.otherVMsUnread.Get(id)
	return int(math.Round(unread))
}

// withOtherVMsUnread returns the view with what the leader's reply tells of the other VMs'
// unread tokens. Their requests have to be those of the same reply.
func (v View) withOtherVMsUnread(list []buckthorndyke.ServerLoad, now buckthorndyke.Millis) View {
	before := v.otherVMsUnread
	if now >= v.otherVMsLoadsUntil {
		before = buckthorndyke.Table[buckthorndyke.RunnerID, float64]{}
	}
	v.otherVMsUnread = buckthorndyke.NewTable(func(yield func(buckthorndyke.RunnerID, float64) bool) {
		for _, l := range list {
			known, _ := before.Get(l.Server)
			unread := (1-unreadWeight)*known + unreadWeight*float64(l.PromptTokens)
			if unread >= 1 && !yield(l.Server, unread) {
				return
			}
		}
		for id, known := range before.All() {
			unread := (1 - unreadWeight) * known
			if unread >= 1 && !v.otherVMsLoads.Has(id) && !yield(id, unread) {
				return
			}
		}
	})
	return v
}
