// Package cli is the command line: it checks settings, calls the importable packages that do the
// work, and turns what came of it into text or JSON and an exit status.
package cli
