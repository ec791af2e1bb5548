package operator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"chestnutstack/internal/version/catalogue"
)

// MaxFileSize bounds a catalogue file, in bytes.
const MaxFileSize = 4 << 20

// Finding is one thing that is wrong with a catalogue file.
type Finding struct {
	Line   int
	Column int
	// Field is the path of the key, such as entries.riga/thumbnail.limits.rate; may be empty.
	Field string
	Text  string
}

// String returns LINE:COLUMN: FIELD: TEXT.
func (fnd Finding) String() string {
	if fnd.Field == "" {
		return fmt.Sprintf("%d:%d: %s", fnd.Line, fnd.Column, fnd.Text)
	}
	return fmt.Sprintf("%d:%d: %s: %s", fnd.Line, fnd.Column, fnd.Field, fnd.Text)
}

// Findings is the error of a file that has any.
type Findings []Finding

// Error returns one finding a line.
func (fns Findings) Error() string {
	lns := make([]string, len(fns))
	for idx, fnd := range fns {
		lns[idx] = fnd.String()
	}
	return strings.Join(lns, "\n")
}

func (fns Findings) sort() {
	slices.SortStableFunc(fns, func(one, two Finding) int {
		return cmp.Or(cmp.Compare(one.Line, two.Line), cmp.Compare(one.Column, two.Column))
	})
}

// Read returns the entries of a catalogue file in their order; the error is Findings.
func Read(data []byte) ([]catalogue.Entry, error) {
	if len(data) > MaxFileSize {
		return nil, Findings{{Line: 1, Column: 1, Text: fmt.Sprintf("file is longer than %d bytes", MaxFileSize)}}
	}
	fil, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Findings{syntaxFinding(err)}
	}
	rdr := &reader{places: make(map[string]*token.Token)}
	ens := rdr.readFile(fil)
	if len(rdr.findings) > 0 {
		rdr.findings.sort()
		return nil, rdr.findings
	}
	return ens, nil
}

type reader struct {
	findings Findings
	// places has the value of each key by its path.
	places map[string]*token.Token
}

func syntaxFinding(err error) Finding {
	fnd := Finding{Line: 1, Column: 1, Text: err.Error()}
	var syn yaml.Error
	if errors.As(err, &syn) {
		fnd.Text = syn.GetMessage()
		if tok := syn.GetToken(); tok != nil && tok.Position != nil {
			fnd.Line = tok.Position.Line
			fnd.Column = tok.Position.Column
		}
	}
	return fnd
}

func (rdr *reader) add(tok *token.Token, field, format string, args ...any) {
	fnd := Finding{Line: 1, Column: 1, Field: field, Text: fmt.Sprintf(format, args...)}
	if tok != nil && tok.Position != nil {
		fnd.Line = tok.Position.Line
		fnd.Column = tok.Position.Column
	}
	rdr.findings = append(rdr.findings, fnd)
}

func (rdr *reader) readFile(fil *ast.File) []catalogue.Entry {
	var docs []ast.Node
	for _, doc := range fil.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			docs = append(docs, doc.Body)
		}
	}
	if len(docs) != 1 {
		rdr.add(nil, "", "file has %d documents, want 1", len(docs))
		return nil
	}
	top := rdr.object(docs[0], "", "entries")
	lst, ok := top.fields["entries"]
	if !ok {
		rdr.add(docs[0].GetToken(), "entries", "is missing")
		return nil
	}
	seq, ok := lst.value.(*ast.SequenceNode)
	if !ok {
		rdr.add(lst.value.GetToken(), "entries", "is not a list")
		return nil
	}
	return rdr.readEntries(seq)
}

func (rdr *reader) readEntries(seq *ast.SequenceNode) []catalogue.Entry {
	var ens []catalogue.Entry
	seen := make(map[string]bool)
	for idx, nod := range seq.Values {
		ent, ok := rdr.readEntry(nod, fmt.Sprintf("entries[%d]", idx))
		if !ok {
			continue
		}
		if seen[ent.Name()] {
			rdr.add(rdr.places[fmt.Sprintf("entries[%d].name", idx)], "entries", "%q is there twice", ent.Name())
		}
		seen[ent.Name()] = true
		ens = append(ens, ent)
	}
	return ens
}
