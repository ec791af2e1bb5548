// Package operator reads and writes the catalogue files that operators keep.
//
// Files are YAML with kebab-case keys. Reading is strict, and returns every finding at once with
// its line and column, so that an operator mends a file in one go.
package operator
