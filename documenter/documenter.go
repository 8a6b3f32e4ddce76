// Package documenter writes the configuration reference from the source of
// package declarer, so that the page and the code cannot disagree.
//
// # Usage
//
//	text, err := documenter.Reference("declarer/declarer.go")
//
// CI compares its output, joined with the flags of the subcommands, with
// docs/configuration.md.
package documenter

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// rootType is the type that the reference starts from.
const rootType = "Config"

type (
	// SourceError says that the source does not have the expected form.
	SourceError struct{ Problem string }

	// source is a parsed file of type declarations.
	source struct {
		set   *token.FileSet
		types map[string]*ast.TypeSpec
		order []string
	}
)

// Error implements error.
func (e *SourceError) Error() string { return "configuration reference: " + e.Problem }

// Reference returns a Markdown section for each type that a configuration is
// made of, in the order of the source. It returns a *SourceError if the source
// has no type Config.
func Reference(path string) (string, error) {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
	if err != nil {
		return "", errors.Wrap(err, "parse the declarations library")
	}
	s := &source{set: set, types: map[string]*ast.TypeSpec{}}
	for _, d := range file.Decls {
		if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.TYPE {
			s.add(g)
		}
	}
	if s.types[rootType] == nil {
		return "", &SourceError{Problem: path + " declares no type " + rootType}
	}
	return s.sections(), nil
}

func (s *source) add(g *ast.GenDecl) {
	for _, spec := range g.Specs {
		t, ok := spec.(*ast.TypeSpec)
		if !ok {
			continue
		}
		s.types[t.Name.Name] = t
		s.order = append(s.order, t.Name.Name)
	}
}

func (s *source) sections() string {
	used := map[string]bool{}
	s.reach(rootType, used)
	var b strings.Builder
	for _, name := range s.order {
		st, ok := s.types[name].Type.(*ast.StructType)
		if !ok || !used[name] {
			continue
		}
		fmt.Fprintf(&b, "### %s\n\n%s\n\n", name, sentence(s.types[name].Doc))
		b.WriteString("| key | type | meaning |\n|---|---|---|\n")
		s.rows(&b, st)
		b.WriteString("\n")
	}
	return b.String()
}

// reach marks the types that the named one is made of.
func (s *source) reach(name string, used map[string]bool) {
	t := s.types[name]
	if t == nil || used[name] {
		return
	}
	used[name] = true
	ast.Inspect(t.Type, func(n ast.Node) bool {
		if id, ok := n.(*ast.Ident); ok && s.types[id.Name] != nil {
			s.reach(id.Name, used)
		}
		return true
	})
}

func (s *source) rows(b *strings.Builder, st *ast.StructType) {
	for _, f := range st.Fields.List {
		if len(f.Names) == 0 {
			s.inline(b, f)
			continue
		}
		key := yamlKey(f)
		if key == "" {
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", key, s.typeText(f.Type), sentence(f.Doc))
	}
}

// inline writes the rows of an embedded struct.
func (s *source) inline(b *strings.Builder, f *ast.Field) {
	id, ok := f.Type.(*ast.Ident)
	if !ok || s.types[id.Name] == nil {
		return
	}
	if st, ok := s.types[id.Name].Type.(*ast.StructType); ok {
		s.rows(b, st)
	}
}

func (s *source) typeText(e ast.Expr) string {
	var b strings.Builder
	if err := printer.Fprint(&b, s.set, e); err != nil {
		return "" // Writing to memory does not fail.
	}
	text := strings.NewReplacer("[]", "list of ", "time.Duration", "time, such as 1m30s", "netip.AddrPort", "ip:port", "float64", "number", "int64", "integer").Replace(b.String())
	if text == "int" {
		return "integer"
	}
	return text
}

func yamlKey(f *ast.Field) string {
	if f.Tag == nil {
		return ""
	}
	tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`")).Get("yaml")
	key, _, _ := strings.Cut(tag, ",")
	return key
}

func sentence(g *ast.CommentGroup) string {
	if g == nil {
		return ""
	}
	return strings.Join(strings.Fields(g.Text()), " ")
}
