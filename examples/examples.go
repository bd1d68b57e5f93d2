// Package examples embeds the declarations of two example deployments, which the demo
// applies.
package examples

import "embed"

// Files contains one folder of declarations per deployment.
//
//go:embed consortium cedarwick
var Files embed.FS
