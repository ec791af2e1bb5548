package examples

import "embed"

// Files has every catalogue file of this directory.
//
//go:embed *.yaml
var Files embed.FS
