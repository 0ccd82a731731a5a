// Package schema embeds the JSON Schemas of declarations and settings.
package schema

import _ "embed"

//go:generate sh -c "cd ../.. && go run ./internal/schemagen"

// Declarations is the schema of declaration files.
//
//go:embed declarations.schema.json
var Declarations []byte

// Settings is the schema of the daemon's settings file.
//
//go:embed settings.schema.json
var Settings []byte
