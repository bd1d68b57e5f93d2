// Package explain reconstructs the timeline of a request, item or batch job from the
// logs of several processes.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/result"
)

// Line is a parsed log line.
type Line struct {
	At      time.Time
	Level   string
	Message string
	Fields  map[string]any
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 4 << 20

// Read parses the log lines of one source. Text before the first brace of a line is
// ignored, because other programs may add a prefix such as a time or a name. Lines
// that can't be parsed are counted in skipped.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		i := bytes.IndexByte(sc.Bytes(), '{')
		if i < 0 {
			skipped++

			continue
		}
		var in struct {
			Timestamp time.Time      `json:"timestamp"`
			Level     string         `json:"level"`
			Message   string         `json:"message"`
			Fields    map[string]any `json:"fields"`
		}
		de := json.NewDecoder(bytes.NewReader(sc.Bytes()[i:]))
		de.UseNumber() // keeps the digits of IDs and times unchanged
		if err := de.Decode(&in); err != nil || in.Message == "" {
			skipped++

			continue
		}
		lines = append(lines, Line{At: in.Timestamp, Level: in.Level, Message: in.Message, Fields: in.Fields})
	}
	if err := sc.Err(); err != nil {
		return nil, skipped, result.New(result.MalformedBody, "explain: can't read log lines: %v", err)
	}

	return lines, skipped, nil
}

// stateMessages are the messages that report a change in a process's own state or in
// its last known state of others. They match the log messages of other packages
// literally.
var stateMessages = []string{
	"configuration applied", "weight version changed", "store leader changed", "leadership changed", "items are executed by this store",
	"items are no longer executed by this store", "controller unreachable", "the configuration is not confirmed any more", "the configuration is confirmed again", "slow backend servers changed", "started", "shutdown begins", "weights loaded",
}

// idFields are the fields whose values are IDs.
var idFields = []string{"request", "job", "item", "reward"}

// hasID reports whether one of the line's ID fields is id.
func (li *Line) hasID(id string) bool {
	for _, name := range idFields {
		if li.Fields[name] == id {
			return true
		}
	}

	return false
}

func (li *Line) node() string { return fmt.Sprint(li.Fields["node"]) }

// servers returns the backend servers that a line names.
func (li *Line) servers() []string {
	var out []string
	if s, ok := li.Fields["server"].(string); ok {
		out = append(out, s)
	}
	if l, ok := li.Fields["servers"].([]any); ok {
		for _, s := range l {
			out = append(out, fmt.Sprint(s))
		}
	}

	return out
}

// Timeline returns the timeline of an ID: all lines about it, ordered by time, and those
// lines between the first and the last of them that report a change of state on a
// node involved, or of a backend server involved.
func Timeline(lines []Line, id string) []Line {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	nodes, servers := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for i := range lines {
		li := &lines[i]
		if !li.hasID(id) {
			continue
		}
		if first.IsZero() {
			first = li.At
		}
		last = li.At
		nodes[li.node()] = true
		for _, s := range li.servers() {
			servers[s] = true
		}
	}
	if first.IsZero() {
		return nil
	}

	var out []Line
	for _, li := range lines {
		switch {
		case li.hasID(id):
		case li.At.Before(first) || li.At.After(last):
			continue
		case nodes[li.node()] && slices.Contains(stateMessages, li.Message):
		case len(li.servers()) == 1 && servers[li.servers()[0]] && li.isAboutServer(nodes):
		default:
			continue
		}
		out = append(out, li)
	}

	return out
}

// isAboutServer reports whether a line is about the state of a backend server, as
// logged by any controller or by a node involved.
func (li *Line) isAboutServer(nodes map[string]bool) bool {
	switch {
	case li.Message == "backend server state changed", li.Message == "backend server silent", strings.HasPrefix(li.Message, "weights "):
		return true
	}

	return strings.HasPrefix(li.Message, "backend server") && nodes[li.node()]
}

// unprintedFields are the fields that are not printed after the message. The node is
// printed at the beginning of the line.
var unprintedFields = []string{"program", "name", "role", "node"}

// Write prints a timeline, one log line per line, each with the seconds since the
// first one.
func Write(w io.Writer, timeline []Line) error {
	for i := range timeline {
		li := &timeline[i]
		names := make([]string, 0, len(li.Fields))
		for name := range li.Fields {
			if !slices.Contains(unprintedFields, name) {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		var b strings.Builder
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%v", name, li.Fields[name])
		}
		if _, err := fmt.Fprintf(w, "%9.3f s  %-24s %s%s\n", li.At.Sub(timeline[0].At).Seconds(), li.node(), li.Message, b.String()); err != nil {
			return err
		}
	}

	return nil
}
