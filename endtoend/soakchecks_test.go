package endtoend

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

// assertCallers compares what servers have run and what clients were told with the callers
// of the versions. It considers what ran after from.
func assertCallers(t *testing.T, h callerHistory, from time.Time, runs []imitator.Execution, responses []recordedResponse) {
	t.Helper()
	byID := make(map[string]recordedResponse, len(responses))
	for _, r := range responses {
		byID[r.ID] = r
	}
	var checked []imitator.Execution
	for _, run := range runs {
		if r, ok := byID[run.ID]; ok && run.At.After(from) {
			checked = append(checked, run)
			assertRunsAsHolder(t, h, run, r)
		}
	}
	assertKeysSettled(t, h, responses)
	assertAllotment(t, h, checked)
}

// assertRunsAsHolder checks that a request ran under the name of its key's holder alone and
// without the key, and that a version had the key. On the public route it may also have run
// without a name.
func assertRunsAsHolder(t *testing.T, h callerHistory, run imitator.Execution, r recordedResponse) {
	t.Helper()
	asserter.True(t, !run.HasCredential(), "a server has received a client's credential: "+describe(r))
	held, names := h.everHeld(r.Key, run.At), run.CallerNames()
	if r.isPublic() && len(names) == 0 {
		return
	}
	asserter.True(t, held, "a request ran whose key no version had: "+describe(r))
	asserter.True(t, slices.Equal(names, []string{holderOf(r.Key)}), fmt.Sprintf("a request ran under the names %q: %s", names, describe(r)))
}

// assertKeysSettled checks that VMs without a fault refuse removed and unknown keys for good
// and do not refuse others, once the change limit has passed.
func assertKeysSettled(t *testing.T, h callerHistory, responses []recordedResponse) {
	t.Helper()
	refused, accepted := 0, 0
	for _, r := range responses {
		held, changed := h.lastChange(r.Key, r.ended)
		settled := r.sent.Add(-changeSettleTime)
		if r.isPublic() || changed.After(settled) || !h.undisturbed(r.vm, settled, r.ended) {
			continue
		}
		if held {
			accepted++
			asserter.True(t, r.Status != http.StatusUnauthorized, "a caller's key was refused: "+describe(r))
		} else {
			refused++
			asserter.Equal(t, fmt.Sprint(r.Status, " ", describe(r)), fmt.Sprint(http.StatusUnauthorized, " ", describe(r)))
		}
	}
	t.Logf("settled keys: %d requests with a caller's key and %d others", accepted, refused)
	asserter.True(t, accepted > 0 && refused > 0, "no request shows whether VMs know a change of keys")
}

// assertAllotment checks that in no window more of the limited caller's requests ran than
// its allotment and the bounds allow. The time at which a server begins is not the time at
// which a VM sends, so each client may have a request in flight when a window begins.
func assertAllotment(t *testing.T, h callerHistory, runs []imitator.Execution) {
	t.Helper()
	first := make(map[string]time.Time)
	for _, run := range runs {
		if at, ok := first[run.ID]; slices.Contains(run.CallerNames(), limitedCaller) && (!ok || run.At.Before(at)) {
			first[run.ID] = run.At
		}
	}
	var times []time.Time
	for _, at := range first {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	worst, end := 0.0, 0
	for i, begin := range times {
		for end < len(times) && times[end].Before(begin.Add(allotmentWindow)) {
			end++
		}
		bound := (h.paceAt(begin)*allotmentWindow.Seconds()+allotmentBurst)*(1+allotmentOverage) + allotmentSlack + soakClients + soakFlooders
		worst = max(worst, float64(end-i)/bound)
	}
	t.Logf("%d requests of the limited caller ran, in the worst window %.2f of the bound", len(times), worst)
	asserter.True(t, worst <= 1, "more of a caller's requests ran in a window than its allotment allows")
	asserter.True(t, len(times) > 0, "no request of the limited caller ran")
}

// isPublic reports whether the request was sent to the route that needs no key.
func (r recordedResponse) isPublic() bool { return strings.HasPrefix(r.Target, "/public/") }

// describe returns what identifies a request in a failure.
func describe(r recordedResponse) string {
	return fmt.Sprintf("id %s, key %q, alias %q, target %s, VM %d, sent %s, ended %s", r.ID, r.Key, r.Alias, r.Target, r.vm,
		r.sent.Format(time.StampMilli), r.ended.Format(time.StampMilli))
}
