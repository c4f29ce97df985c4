package endtoend

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

const (
	// uploads is the number of clients that send a large body at a time, and uploadRounds
	// the number of bodies that each of them sends.
	uploads      = 60
	uploadRounds = 3
	// uploadBytes is the size of a body.
	uploadBytes = 4 << 20
)

// TestLargeBodies guards against bodies that each keep to the size limit and together take
// more memory than the VM has, which ended the requests of all its clients.
func TestLargeBodies(t *testing.T) {
	s := startRelayFixture(t, true, nil)
	body := strings.Repeat("x", uploadBytes)
	statuses := make(chan int, uploads*uploadRounds)
	s.serveBeside(func() {
		var clients sync.WaitGroup
		for range uploads {
			clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for range uploadRounds {
					statuses <- imitator.Request{Body: body, Target: "/calls/x"}.Send(s.ctx, client, s.addresses[0]).Status
				}
			})
		}
		clients.Wait()
		close(statuses)
	})
	served := 0
	for status := range statuses {
		asserter.True(t, status == http.StatusOK || status == http.StatusServiceUnavailable, fmt.Sprintf("an upload ended with status %d", status))
		if status == http.StatusOK {
			served++
		}
	}
	usage, err := s.processes[0].Usage()
	asserter.NoError(t, err)
	t.Logf("peak of the resident memory: %d kB; %d of %d uploads were served", usage.PeakKB, served, uploads*uploadRounds)
	asserter.True(t, usage.PeakKB < memoryMB<<10, fmt.Sprintf("the process took %d kB", usage.PeakKB))
	asserter.True(t, served >= uploadRounds, "too few uploads were served")
}
