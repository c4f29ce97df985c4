package launcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Sizes of a site.
const (
	domainCount        = 3
	runnerMemoryMB     = 48_000
	defaultRunnerSlots = 8
	serviceReplicas    = 3
)

// Secrets of a site. They protect nothing, because a site listens on loopback only.
const (
	FleetKey      = "loopback-fleet-key"
	OperatorToken = "loopback-operator-token"
)

// EntryVM holds the name and the addresses of one entry VM.
type EntryVM struct {
	Callers  string
	Name     string
	Operator string
	Peers    string
}

// Site describes a local deployment on the loopback interface: the addresses of its
// entry VMs and stand-ins, and their settings.
type Site struct {
	EntryVMs    []EntryVM
	Log         string
	Runners     []string
	Services    []string
	ServiceName string
	VMList      string
	WeightStore string
	// Overrides replaces settings of all entry VMs, by top-level key.
	Overrides map[string]any
	// RunnerSlots is the number of requests that a runner processes in one batch.
	RunnerSlots int
	// RunnersIgnoreFencingToken makes all runners ignore fencing tokens.
	RunnersIgnoreFencingToken bool
}

// NewSite returns a site with free addresses for the given numbers of entry VMs and
// runners, and for the backend servers of one plain service.
func NewSite(ctx context.Context, entries, runners int, service string) (Site, error) {
	site := Site{RunnerSlots: defaultRunnerSlots, ServiceName: service}
	addresses, err := FreeAddresses(ctx, 3+3*entries+runners+serviceReplicas)
	if err != nil {
		return site, err
	}
	nextAddress := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	site.Log, site.VMList, site.WeightStore = nextAddress(), nextAddress(), nextAddress()
	for i := range entries {
		site.EntryVMs = append(site.EntryVMs, EntryVM{
			Callers: nextAddress(), Name: fmt.Sprintf("entry-%d", i+1), Operator: nextAddress(), Peers: nextAddress(),
		})
	}
	for range runners {
		site.Runners = append(site.Runners, nextAddress())
	}
	for range serviceReplicas {
		site.Services = append(site.Services, nextAddress())
	}
	return site, nil
}

// EntryVMSettings returns the settings of the i-th entry VM.
func (s Site) EntryVMSettings(i int) map[string]any {
	e := s.EntryVMs[i]
	settings := map[string]any{
		"vm":             e.Name,
		"failure-domain": failureDomain(i),
		"callers":        map[string]any{"address": e.Callers},
		"operator":       map[string]any{"address": e.Operator, "token": OperatorToken},
		"peers":          map[string]any{"address": e.Peers, "key": FleetKey},
		"log":            map[string]any{"address": s.Log},
		"vm-list":        map[string]any{"address": s.VMList},
		"weight-store":   map[string]any{"address": s.WeightStore},
		"runners":        map[string]any{"check-fence": !s.RunnersIgnoreFencingToken},
	}
	for name, value := range s.Overrides {
		settings[name] = value
	}
	return settings
}

// StandInSettings returns the settings of the site's stand-ins.
func (s Site) StandInSettings() map[string]any {
	var entries, runners, services []any
	for i, e := range s.EntryVMs {
		entries = append(entries, map[string]any{"vm": e.Name, "address": e.Peers, "failure-domain": failureDomain(i)})
	}
	for i, address := range s.Runners {
		runners = append(runners, map[string]any{
			"vm": fmt.Sprintf("runner-%d", i+1), "address": address, "failure-domain": failureDomain(i),
			"memory-mb": runnerMemoryMB, "slots": s.RunnerSlots, "checks-fence": !s.RunnersIgnoreFencingToken,
		})
	}
	for i, address := range s.Services {
		services = append(services, map[string]any{
			"vm": fmt.Sprintf("%s-%d", s.ServiceName, i+1), "address": address, "failure-domain": failureDomain(i),
			"service": s.ServiceName,
		})
	}
	return map[string]any{
		"log":          map[string]any{"address": s.Log},
		"vm-list":      map[string]any{"address": s.VMList},
		"weight-store": map[string]any{"address": s.WeightStore},
		"entry-vms":    entries,
		"runners":      runners,
		"services":     services,
	}
}

// TokenSHA256 returns the SHA-256 of a caller's token in hexadecimal, as in the rules.
func TokenSHA256(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// failureDomain returns the failure domain of the i-th VM of its kind. The VMs are
// assigned to the failure domains in turn.
func failureDomain(i int) string {
	return string(rune('a' + i%domainCount))
}
