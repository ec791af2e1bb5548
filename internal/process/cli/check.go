package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/version/catalogue"
	"chestnutstack/internal/version/operator"
)

// checkedFile is what check found out about one catalogue file.
type checkedFile struct {
	path    string
	entries int
	err     error
}

// Run implements the command.
func (cmd *catalogueCheck) Run(str *streams) error {
	var fils []checkedFile
	wrong := 0
	for _, path := range cmd.File {
		ents, err := readCatalogueFile(path)
		if err != nil {
			wrong++
		}
		fils = append(fils, checkedFile{path: path, entries: len(ents), err: err})
	}
	write := writeChecked
	if cmd.JSON {
		write = writeCheckedJSON
	}
	if err := write(str, fils); err != nil {
		return err
	}
	if wrong > 0 {
		return &usageError{cause: errors.Newf("%d of %d catalogue files are not well", wrong, len(fils))}
	}
	return nil
}

func writeChecked(str *streams, fils []checkedFile) error {
	for _, fil := range fils {
		if fil.err != nil {
			fmt.Fprintln(str.err, fil.err)
			continue
		}
		fmt.Fprintf(str.out, "%s: %d entries, all well\n", fil.path, fil.entries)
	}
	return nil
}

// fileJSON and findingJSON are the form that --json prints.
type fileJSON struct {
	File     string        `json:"file"`
	Entries  int           `json:"entries"`
	Findings []findingJSON `json:"findings"`
}

type findingJSON struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Field  string `json:"field"`
	Text   string `json:"text"`
}

func writeCheckedJSON(str *streams, fils []checkedFile) error {
	out := make([]fileJSON, 0, len(fils))
	for _, fil := range fils {
		val := fileJSON{File: fil.path, Entries: fil.entries, Findings: []findingJSON{}}
		var fns operator.Findings
		if fil.err != nil && !errors.As(fil.err, &fns) {
			// A file that can't be read has no lines to name.
			val.Findings = append(val.Findings, findingJSON{Text: fil.err.Error()})
		}
		for _, fnd := range fns {
			val.Findings = append(val.Findings, findingJSON{Line: fnd.Line, Column: fnd.Column, Field: fnd.Field, Text: fnd.Text})
		}
		out = append(out, val)
	}
	return errors.Wrap(json.NewEncoder(str.out).Encode(out), "encoding JSON")
}

// fileError names the file of each finding.
type fileError struct {
	path     string
	findings operator.Findings
}

// Error returns FILE:LINE:COLUMN: FIELD: TEXT for each finding.
func (err *fileError) Error() string {
	lns := make([]string, 0, len(err.findings))
	for _, fnd := range err.findings {
		lns = append(lns, fmt.Sprintf("%s:%s", err.path, fnd))
	}
	return strings.Join(lns, "\n")
}

// Unwrap returns the findings.
func (err *fileError) Unwrap() error { return err.findings }

// readCatalogueFile returns the entries of a file; an error names file, line and column.
func readCatalogueFile(path string) ([]catalogue.Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading catalogue file")
	}
	ents, err := operator.Read(data)
	var fns operator.Findings
	if errors.As(err, &fns) {
		return nil, &fileError{path: path, findings: fns}
	}
	return ents, err
}
