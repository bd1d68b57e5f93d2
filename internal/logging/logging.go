// Package logging creates loggers that write JSON lines, either directly or through
// a buffer that never blocks.
package logging

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/json"
)

// New returns a logger that writes JSON lines of level and above to w. An unknown
// level means info.
func New(w io.Writer, level, program, name string) log.Interface {
	lo := &log.Logger{Handler: json.New(w), Level: log.InfoLevel}
	if l, err := log.ParseLevel(level); err == nil {
		lo.Level = l
	}

	return lo.WithFields(log.Fields{"program": program, "name": name})
}

// Discard returns a logger that writes nothing.
func Discard() log.Interface {
	return &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
}
