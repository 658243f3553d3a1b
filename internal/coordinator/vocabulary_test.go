package coordinator_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"peridotpitch/internal/orchestrator"
)

// Guards against log events that docs/OPERATIONS.md does not explain. Its table must list
// the name of every event that is logged above the level debug.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]bool)
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") {
			for _, word := range regexp.MustCompile(`[A-Z][A-Za-z]+`).FindAllString(strings.SplitN(line, "|", 3)[1], -1) {
				documented[word] = true
			}
		}
	}
	names := append(orchestrator.Events(), loggedNames(t, "*.go", "../../platform/*.go", "../../cmd/peridotpitch/entry.go")...)
	if len(names) < 30 {
		t.Fatalf("only %d names were found", len(names))
	}
	for _, n := range names {
		if !documented[n] {
			t.Errorf("event %s is not in the table of docs/OPERATIONS.md", n)
		}
	}
}

// loggedNames returns the messages of all logger calls above the level debug in the files
// that match the patterns.
func loggedNames(t *testing.T, patterns ...string) []string {
	t.Helper()
	var names []string
	for _, p := range patterns {
		files, err := filepath.Glob(p)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			tree, err := parser.ParseFile(token.NewFileSet(), f, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(tree, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok || len(call.Args) == 0 {
					return true
				}
				method, ok := call.Fun.(*ast.SelectorExpr)
				if !ok || method.Sel.Name != "Info" && method.Sel.Name != "Warn" && method.Sel.Name != "Error" {
					return true
				}
				if text, ok := call.Args[0].(*ast.BasicLit); ok && text.Kind == token.STRING {
					if name, err := strconv.Unquote(text.Value); err == nil {
						names = append(names, name)
					}
				}
				return true
			})
		}
	}
	return names
}
