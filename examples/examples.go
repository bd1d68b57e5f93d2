// Package examples holds the declarations of both deployments, which the demo applies.
package examples

import "embed"

// Files holds a folder for each deployment.
//
//go:embed consortium cedarwick
var Files embed.FS
