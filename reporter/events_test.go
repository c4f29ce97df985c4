package reporter_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// TestEvents checks that the operators' documentation describes every log event.
func TestEvents(t *testing.T) {
	var pages string
	for _, path := range []string{"../docs/OPERATING.md", "../docs/OPERATIONS.md"} {
		page, err := os.ReadFile(path)
		asserter.NoError(t, err)
		pages += string(page)
	}
	file, err := parser.ParseFile(token.NewFileSet(), "logger.go", nil, 0)
	asserter.NoError(t, err)
	events := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Event" {
			return true
		}
		name, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		asserter.NoError(t, err)
		asserter.Contains(t, pages, "`"+name+"`")
		events++
		return true
	})
	asserter.True(t, events > 20, "too few events found in logger.go")
}
