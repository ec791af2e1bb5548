// Command stylecheck reports what the linter has no rule for: bare go statements, packages
// without doc.go, the platform's wire names outside its folder, and imports that run up the areas.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

func main() {
	findings, err := check(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, fnd := range findings {
		fmt.Fprintln(os.Stdout, fnd)
	}
	if len(findings) > 0 {
		os.Exit(1)
	}
}

func check(roots []string) ([]string, error) {
	var findings []string
	for _, root := range roots {
		err := filepath.WalkDir(root, func(path string, ent fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if ent.IsDir() {
				findings = append(findings, checkDir(path)...)
				return nil
			}
			found, err := checkFile(path)
			findings = append(findings, found...)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return findings, nil
}

func checkDir(path string) []string {
	sources, _ := filepath.Glob(filepath.Join(path, "*.go"))
	if len(sources) == 0 {
		return nil
	}
	if _, err := os.Stat(filepath.Join(path, "doc.go")); err == nil {
		return nil
	}
	for _, src := range sources {
		// Generated packages carry their package comment in the generated file, commands in main.go.
		if strings.HasSuffix(src, ".pb.go") || filepath.Base(src) == "main.go" {
			return nil
		}
	}
	return []string{path + ": no doc.go"}
}

func checkFile(path string) ([]string, error) {
	if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
		return nil, nil
	}
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	findings := append(checkWireNames(path, fset, file), checkAreas(path, fset, file)...)
	ast.Inspect(file, func(nod ast.Node) bool {
		if stm, ok := nod.(*ast.GoStmt); ok {
			findings = append(findings, fmt.Sprintf("%s: bare go statement; start it through a group", fset.Position(stm.Pos())))
		}
		return true
	})
	return findings, nil
}

// wireNames are names that the platform gave to fields, calls and topics. They are decoded once, in the folder
// platform, and stand nowhere else; the list of them stands there, too.
var wireNames = strings.Fields(readWireNames())

const wireNamesFile = platformFolder + "wire-names.txt"

func readWireNames() string {
	data, err := os.ReadFile(wireNamesFile)
	if err != nil || len(data) == 0 {
		fmt.Fprintln(os.Stderr, "the list of the platform's names is missing:", err)
		os.Exit(2) // Without it the check would pass whatever stands in the code.
	}
	return string(data)
}

const platformFolder = "platform/"

func checkWireNames(path string, fset *token.FileSet, file *ast.File) []string {
	if strings.HasPrefix(filepath.ToSlash(path), platformFolder) {
		return nil
	}
	var findings []string
	ast.Inspect(file, func(nod ast.Node) bool {
		text := ""
		switch nod := nod.(type) {
		case *ast.Ident:
			text = nod.Name
		case *ast.BasicLit:
			text = nod.Value
		}
		for _, name := range wireNames {
			if strings.Contains(text, name) {
				findings = append(findings, fmt.Sprintf("%s: the platform's name %s outside %s",
					fset.Position(nod.Pos()), name, platformFolder))
			}
		}
		return true
	})
	return findings
}

// areas are the parts of internal/ from the lowest up: an area imports those before it only.
var areas = []string{"request", "version", "connection", "process"}

func checkAreas(path string, fset *token.FileSet, file *ast.File) []string {
	own := areaOf(filepath.ToSlash(path))
	if own < 0 {
		return nil
	}
	var findings []string
	for _, imp := range file.Imports {
		adr := strings.Trim(imp.Path.Value, "\"")
		if oth := areaOf(strings.TrimPrefix(adr, "chestnutstack/")); oth > own {
			findings = append(findings, fmt.Sprintf("%s: area %s imports %s above it",
				fset.Position(imp.Pos()), areas[own], adr))
		}
	}
	return findings
}

// areaOf returns the place of a path's area in the stack, -1 for paths outside internal/.
func areaOf(path string) int {
	rest, found := strings.CutPrefix(path, "internal/")
	if !found {
		return -1
	}
	for num, name := range areas {
		if strings.HasPrefix(rest, name+"/") {
			return num
		}
	}
	return -1
}
