package matrix_test

import (
	"os"
	"path"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// knownRedFile lists the tests that may fail.
const knownRedFile = "../KNOWN-RED.txt"

// knownRed is a family of cells that may break in one way.
type knownRed struct {
	// only is a text that all that is broken must contain, or empty.
	only string
	// test is a pattern of names, in which * stands for one part of a name.
	test string
}

// covers reports whether a cell may break as it did.
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

// isKnownRed reports whether a cell may break as it did.
func isKnownRed(known []knownRed, name string, detail []string) bool {
	for _, k := range known {
		if k.matches(name, detail) {
			return true
		}
	}
	return false
}

// parseKnownRed returns the entries in text.
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

// readKnownRed returns the cells that may fail.
func readKnownRed() []knownRed {
	data, err := os.ReadFile(knownRedFile)
	if err != nil {
		return nil
	}
	return parseKnownRed(string(data))
}

func TestKnownRed(t *testing.T) {
	known := parseKnownRed("test: TestMatrix/*/slow\nonly: overloaded\n")
	t.Run("a cell of the family that breaks in its way is passed over", func(t *testing.T) {
		asserter.Equal(t, isKnownRed(known, "TestMatrix/once/slow", []string{"a: overloaded", "b: overloaded"}), true)
	})
	t.Run("another break of it is not", func(t *testing.T) {
		asserter.Equal(t, isKnownRed(known, "TestMatrix/once/slow", []string{"a: overloaded", "memory overcommitted"}), false)
	})
	t.Run("another cell is not", func(t *testing.T) {
		asserter.Equal(t, isKnownRed(known, "TestMatrix/once/fast", []string{"overloaded"}), false)
	})
}
