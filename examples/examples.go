// Package examples embeds the sample declarations.
package examples

import "embed"

// Files contains a folder of declarations for each sample deployment.
//
//go:embed sindhuli/*.json lusorenda/*.json
var Files embed.FS
