package matrix_test

import (
	"os"
	"path"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// knownRedFile lists the cells that are known to fail.
const knownRedFile = "../KNOWN-RED.txt"

// knownRed is a set of cells that may fail in one way.
type knownRed struct {
	// only is a text that each violation of the cell must contain. An empty text
	// allows all violations.
	only string
	// test is a pattern of test names, in which * stands for one part of a name.
	test string
}

// matches reports whether k allows the violations in detail for the cell name.
func (k knownRed) matches(name string, detail []string) bool {
	if ok, err := path.Match(k.test, name); err != nil || !ok {
		return false
	}
	for _, d := range detail {
		if !strings.Contains(d, k.only) {
			return false
		}
	}
	return true
}

// isKnownRed reports whether an entry of known allows the violations in detail for
// the cell name.
func isKnownRed(known []knownRed, name string, detail []string) bool {
	for _, k := range known {
		if k.matches(name, detail) {
			return true
		}
	}
	return false
}

// parseKnownRed returns the entries of a file with the given text.
func parseKnownRed(text string) []knownRed {
	var known []knownRed
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if test, ok := strings.CutPrefix(line, "test: "); ok {
			known = append(known, knownRed{test: test})
		} else if only, ok := strings.CutPrefix(line, "only: "); ok && len(known) > 0 {
			known[len(known)-1].only = only
		}
	}
	return known
}

// readKnownRed returns the entries of knownRedFile, or none if it cannot be read.
func readKnownRed() []knownRed {
	data, err := os.ReadFile(knownRedFile)
	if err != nil {
		return nil
	}
	return parseKnownRed(string(data))
}

func TestKnownRed(t *testing.T) {
	known := parseKnownRed("test: TestMatrix/*/slow\nonly: overloaded\n")
	t.Run("a listed cell with a listed violation may fail", func(t *testing.T) {
		asserter.Equal(t, isKnownRed(known, "TestMatrix/once/slow", []string{"a: overloaded", "b: overloaded"}), true)
	})
	t.Run("a listed cell with another violation may not fail", func(t *testing.T) {
		asserter.Equal(t, isKnownRed(known, "TestMatrix/once/slow", []string{"a: overloaded", "memory overcommitted"}), false)
	})
	t.Run("an unlisted cell may not fail", func(t *testing.T) {
		asserter.Equal(t, isKnownRed(known, "TestMatrix/once/fast", []string{"overloaded"}), false)
	})
}
