// Package documenter writes the configuration reference from the source of
// package declarer, so that the page always matches the code.
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

// rootType is the type whose fields are the top-level keys of the reference.
const rootType = "Config"

type (
	// SourceError reports a source file from which no reference can be made.
	SourceError struct{ Problem string }

	// source holds the type declarations of a parsed file; order lists their
	// names in the order of the file.
	source struct {
		fset  *token.FileSet
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
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
	if err != nil {
		return "", errors.Wrap(err, "parse the declarations library")
	}
	s := &source{fset: fset, types: map[string]*ast.TypeSpec{}}
	for _, d := range file.Decls {
		if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.TYPE {
			s.addTypes(g)
		}
	}
	if s.types[rootType] == nil {
		return "", &SourceError{Problem: path + " declares no type " + rootType}
	}
	return s.render(), nil
}

func (s *source) addTypes(g *ast.GenDecl) {
	for _, spec := range g.Specs {
		t, ok := spec.(*ast.TypeSpec)
		if !ok {
			continue
		}
		s.types[t.Name.Name] = t
		s.order = append(s.order, t.Name.Name)
	}
}

func (s *source) render() string {
	used := map[string]bool{}
	s.markUsed(rootType, used)
	var b strings.Builder
	for _, name := range s.order {
		st, ok := s.types[name].Type.(*ast.StructType)
		if !ok || !used[name] {
			continue
		}
		fmt.Fprintf(&b, "### %s\n\n%s\n\n", name, commentText(s.types[name].Doc))
		b.WriteString("| key | type | meaning |\n|---|---|---|\n")
		s.writeRows(&b, st)
		b.WriteString("\n")
	}
	return b.String()
}

// markUsed adds the named type and all types that it refers to to used.
func (s *source) markUsed(name string, used map[string]bool) {
	t := s.types[name]
	if t == nil || used[name] {
		return
	}
	used[name] = true
	ast.Inspect(t.Type, func(n ast.Node) bool {
		if id, ok := n.(*ast.Ident); ok && s.types[id.Name] != nil {
			s.markUsed(id.Name, used)
		}
		return true
	})
}

func (s *source) writeRows(b *strings.Builder, st *ast.StructType) {
	for _, f := range st.Fields.List {
		if len(f.Names) == 0 {
			s.writeEmbedded(b, f)
			continue
		}
		key := yamlKey(f)
		if key == "" {
			continue
		}
		fmt.Fprintf(b, "| `%s` | %s | %s |\n", key, s.describeType(f.Type), commentText(f.Doc))
	}
}

// writeEmbedded writes the table rows of an embedded struct.
func (s *source) writeEmbedded(b *strings.Builder, f *ast.Field) {
	id, ok := f.Type.(*ast.Ident)
	if !ok || s.types[id.Name] == nil {
		return
	}
	if st, ok := s.types[id.Name].Type.(*ast.StructType); ok {
		s.writeRows(b, st)
	}
}

func (s *source) describeType(e ast.Expr) string {
	var b strings.Builder
	if err := printer.Fprint(&b, s.fset, e); err != nil {
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

func commentText(g *ast.CommentGroup) string {
	if g == nil {
		return ""
	}
	return strings.Join(strings.Fields(g.Text()), " ")
}
