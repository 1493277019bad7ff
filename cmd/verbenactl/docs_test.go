package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
)

const root = "../../"

func read(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(root + file)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// section returns the text of a page from a heading to the next one of any level.
func section(page, heading string) string {
	_, rest, _ := strings.Cut(page, "\n"+heading+"\n")
	text, _, _ := strings.Cut(rest, "\n#")
	return text
}

// TestOperationsPage guards against refusal and retry codes and log messages that are missing on the operations page,
// where operators look them up.
func TestOperationsPage(t *testing.T) {
	g := gomega.NewWithT(t)
	page := read(t, "docs/OPERATIONS.md")
	for _, r := range failure.Reasons() {
		g.Expect(section(page, "### Refusals")).To(gomega.ContainSubstring("\n| `"+r.Code()+"` |"), "refusal")
	}
	for _, r := range failure.RetryReasons() {
		g.Expect(section(page, "### Retries")).To(gomega.ContainSubstring("\n| `"+r.Code()+"` |"), "retry")
	}
	events := section(page, "## Log events")
	messages := logMessages(t)
	g.Expect(len(messages)).To(gomega.BeNumerically(">", 15), "the search no longer finds the messages")
	for _, m := range messages {
		g.Expect(events).To(gomega.ContainSubstring("\n| `" + m + "` |"))
	}
}

// logMessages returns the literal messages of the log calls in the daemon's code. It finds the calls by the name of the
// function or method.
func logMessages(t *testing.T) []string {
	t.Helper()
	position := map[string]int{"InfoS": 0, "ErrorS": 1, "info": 0, "log": 0, "runLine": 0}
	var out []string
	visit := func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		f, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if i, logs := position[f.Sel.Name]; logs && i < len(call.Args) {
			if text, ok := call.Args[i].(*ast.BasicLit); ok {
				m, _ := strconv.Unquote(text.Value)
				out = append(out, m)
			}
		}
		return true
	}
	for _, dir := range []string{"services", "node", "cmd/verbenaflowd", "kernel"} {
		err := filepath.WalkDir(root+dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err == nil {
				ast.Inspect(file, visit)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// TestLibraryPage guards against examples on the library page that differ from the tested example functions.
func TestLibraryPage(t *testing.T) {
	page := read(t, "docs/library.md")
	for _, name := range []string{"plan", "gang", "ledger", "config", "retry"} {
		text := read(t, "decisions/"+name+"/example_test.go")
		_, example, found := strings.Cut(text, "\nfunc Example")
		gomega.NewWithT(t).Expect(found).To(gomega.BeTrue(), name)
		gomega.NewWithT(t).Expect(strings.Contains(page, "func Example"+example)).To(gomega.BeTrue(), name)
	}
}
