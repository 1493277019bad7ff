// Package rules checks the structure of the code base.
package rules

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/verbenaflow/verbenaflow/platform/words"
)

const (
	root       = "../.."
	modulePath = "github.com/verbenaflow/verbenaflow/"
)

// sourceFile is a parsed non-test file. Its path is relative to the root of the repository.
type sourceFile struct {
	path string
	fset *token.FileSet
	file *ast.File
}

func (s sourceFile) position(n ast.Node) string { return s.fset.Position(n.Pos()).String() }

func (s sourceFile) imports() []string {
	var out []string
	for _, i := range s.file.Imports {
		p, _ := strconv.Unquote(i.Path.Value)
		out = append(out, p)
	}
	return out
}

// parseSources parses the non-test files below a directory of the repository.
func parseSources(t *testing.T, dir string) []sourceFile {
	t.Helper()
	var out []sourceFile
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		fset := token.NewFileSet()
		f, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		out = append(out, sourceFile{path: filepath.ToSlash(rel), fset: fset, file: f})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestModuleImports guards against imports between modules that the layering does not allow.
func TestModuleImports(t *testing.T) {
	allowed := map[string][]string{
		"kernel":    {"kernel"},
		"api":       {"api"},
		"decisions": {"api", "decisions"},
		"platform":  {"api", "platform"},
		"services":  {"api", "decisions", "kernel", "platform", "services"},
		"standins":  {"api", "kernel", "platform", "standins"},
	}
	for dir, modules := range allowed {
		for _, s := range parseSources(t, dir) {
			for _, imp := range s.imports() {
				rest, own := strings.CutPrefix(imp, modulePath)
				module, _, _ := strings.Cut(rest, "/")
				if own && !slices.Contains(modules, module) {
					t.Errorf("%s imports %s", s.path, imp)
				}
			}
		}
	}
}

// TestServicesAreIndependent guards against a service that imports another one instead of sending it messages.
func TestServicesAreIndependent(t *testing.T) {
	for _, s := range parseSources(t, "services") {
		own := strings.Split(s.path, "/")[1]
		for _, imp := range s.imports() {
			rest, ok := strings.CutPrefix(imp, modulePath+"services/")
			if other, _, _ := strings.Cut(rest, "/"); ok && other != own {
				t.Errorf("%s imports the service %s", s.path, other)
			}
		}
	}
}

// TestDecisionsArePure guards against decisions that do I/O, read the clock or start goroutines.
func TestDecisionsArePure(t *testing.T) {
	forbidden := []string{"net", "net/http", "net/rpc", "os", "sync", "encoding/json", "encoding/gob", "log", "context"}
	for _, s := range parseSources(t, "decisions") {
		for _, imp := range s.imports() {
			if slices.Contains(forbidden, imp) {
				t.Errorf("%s imports %s", s.path, imp)
			}
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			if sel, ok := n.(*ast.SelectorExpr); ok {
				if x, ok := sel.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains([]string{"Now", "Since", "Until", "After", "Sleep"}, sel.Sel.Name) {
					t.Errorf("%s: reads the clock", s.position(n))
				}
			}
			return true
		})
	}
}

// TestGoroutinesStartThroughConc guards against goroutines without an owner that waits for them.
func TestGoroutinesStartThroughConc(t *testing.T) {
	for _, dir := range []string{"kernel", "api", "decisions", "platform", "services", "standins", "node", "bench", "cmd"} {
		for _, s := range parseSources(t, dir) {
			ast.Inspect(s.file, func(n ast.Node) bool {
				if g, ok := n.(*ast.GoStmt); ok {
					t.Errorf("%s: go statement", s.position(g))
				}
				return true
			})
		}
	}
}

// TestServicesShareNoMutex guards against state that more than one goroutine of a service changes.
func TestServicesShareNoMutex(t *testing.T) {
	for _, dir := range []string{"services", "standins"} {
		for _, s := range parseSources(t, dir) {
			ast.Inspect(s.file, func(n ast.Node) bool {
				if sel, ok := n.(*ast.SelectorExpr); ok {
					if x, ok := sel.X.(*ast.Ident); ok && x.Name == "sync" && strings.HasSuffix(sel.Sel.Name, "Mutex") {
						t.Errorf("%s: mutex", s.position(n))
					}
				}
				return true
			})
		}
	}
}

// TestWireNamesStayInPlatform guards against code outside the platform folder that uses the paths, headers and field
// names of the platform's wire protocols.
func TestWireNamesStayInPlatform(t *testing.T) {
	for _, dir := range []string{"kernel", "api", "decisions", "services", "standins", "node", "bench", "cmd"} {
		for _, s := range parseSources(t, dir) {
			ast.Inspect(s.file, func(n ast.Node) bool {
				lit, ok := n.(*ast.BasicLit)
				if !ok || lit.Kind != token.STRING {
					return true
				}
				for _, name := range words.ProtocolNames {
					if !strings.Contains(lit.Value, modulePath) && strings.Contains(lit.Value, name) {
						t.Errorf("%s: name of the platform's wire protocols: %s", s.position(lit), lit.Value)
					}
				}
				return true
			})
		}
	}
}

// maxFileLines is the largest number of lines that the code style allows in a file.
const maxFileLines = 500

// TestFileLength guards against files that are too long to be read in about five minutes.
func TestFileLength(t *testing.T) {
	for _, dir := range []string{"kernel", "api", "decisions", "platform", "services", "standins", "node", "bench", "cmd"} {
		for _, s := range parseSources(t, dir) {
			if n := s.fset.Position(s.file.End()).Line; n > maxFileLines {
				t.Errorf("%s has %d lines", s.path, n)
			}
		}
	}
}
