// Package explain tells the course of one request, item or batch job from the logs
// of several processes.
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

// Line is one log line.
type Line struct {
	At      time.Time
	Level   string
	Message string
	Fields  map[string]any
}

// maxLineBytes bounds one log line.
const maxLineBytes = 4 << 20

// Read reads the log lines of one source. What stands before the first brace of a
// line is left out, as other programs may put a time or a name there; a line that
// holds no log line is counted.
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
		de.UseNumber() // IDs and times stay as they were written
		if err := de.Decode(&in); err != nil || in.Message == "" {
			skipped++

			continue
		}
		lines = append(lines, Line{At: in.Timestamp, Level: in.Level, Message: in.Message, Fields: in.Fields})
	}
	if err := sc.Err(); err != nil {
		return nil, skipped, result.New(result.MalformedBody, "explain: %v", err)
	}

	return lines, skipped, nil
}

// beliefs are messages that say what a process believes from then on.
var beliefs = []string{
	"configuration in force", "weight version named", "store leader known", "leadership changed", "items are driven here",
	"items are not driven here any more", "controller lost", "slow backend servers", "started", "shutdown begins", "weights loaded",
}

// identifiers are the fields that hold IDs.
var identifiers = []string{"request", "job", "item", "reward"}

func (li *Line) concerns(id string) bool {
	for _, name := range identifiers {
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

// Course returns the lines about an ID in the order of time, and between them what
// the processes involved came to believe meanwhile: on their node, or of a backend
// server that the ID met.
func Course(lines []Line, id string) []Line {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	nodes, servers := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for i := range lines {
		li := &lines[i]
		if !li.concerns(id) {
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
		case li.concerns(id):
		case li.At.Before(first) || li.At.After(last):
			continue
		case nodes[li.node()] && slices.Contains(beliefs, li.Message):
		case len(li.servers()) == 1 && servers[li.servers()[0]] && li.isAboutServer(nodes):
		default:
			continue
		}
		out = append(out, li)
	}

	return out
}

// isAboutServer reports whether a line says what became of a backend server: to a
// controller, or in the view of a node that is involved.
func (li *Line) isAboutServer(nodes map[string]bool) bool {
	switch {
	case li.Message == "backend server told", li.Message == "backend server silent", strings.HasPrefix(li.Message, "weights "):
		return true
	}

	return strings.HasPrefix(li.Message, "backend server") && nodes[li.node()]
}

// hidden are the fields that a printed line leaves out: the node opens it.
var hidden = []string{"program", "name", "role", "node"}

// Write prints a course, one line each, with the time since its first line.
func Write(w io.Writer, course []Line) error {
	for i := range course {
		li := &course[i]
		names := make([]string, 0, len(li.Fields))
		for name := range li.Fields {
			if !slices.Contains(hidden, name) {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		var b strings.Builder
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%v", name, li.Fields[name])
		}
		if _, err := fmt.Fprintf(w, "%9.3f s  %-24s %s%s\n", li.At.Sub(course[0].At).Seconds(), li.node(), li.Message, b.String()); err != nil {
			return err
		}
	}

	return nil
}
