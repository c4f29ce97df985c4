package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// Size of the simulated fleet.
const (
	domainCount    = 3
	runnerCount    = 12
	runnerMemoryMB = 48000
	runnerSlots    = 8
)

// deployment is a set of rules and the runners that they are simulated on.
type deployment struct {
	// coldStartWeight weighs cold starts against idle time: at 1 the adaptive
	// keep-warm policy avoids cold starts, at 0 it saves idle time.
	coldStartWeight float64
	models          []buckthorndyke.ModelRule
	name            string
	rules           buckthorndyke.Rules
	runners         []placer.Runner
}

// loadDeployment reads the rules file NAME.rules in folder.
func loadDeployment(folder, name string, coldStartWeight float64) (deployment, error) {
	text, err := os.ReadFile(filepath.Join(folder, name+".rules"))
	if err != nil {
		return deployment{}, errors.Wrap(err, "read the rules")
	}
	rules, err := parser.NewRules().Parse(string(text))
	if err != nil {
		return deployment{}, errors.Wrapf(err, "parse the rules of %s", name)
	}
	return newDeployment(name, rules, coldStartWeight), nil
}

// newDeployment returns a deployment of runnerCount runners with the given
// rules.
func newDeployment(name string, rules buckthorndyke.Rules, coldStartWeight float64) deployment {
	d := deployment{coldStartWeight: coldStartWeight, name: name, rules: rules}
	for _, m := range rules.Models.All() {
		d.models = append(d.models, m)
	}
	for i := range runnerCount {
		d.runners = append(d.runners, placer.Runner{
			Domain:   buckthorndyke.DomainID(fmt.Sprintf("domain-%d", i%domainCount)),
			ID:       buckthorndyke.RunnerID(fmt.Sprintf("runner-%d", i+1)),
			MemoryMB: runnerMemoryMB,
		})
	}
	return d
}
