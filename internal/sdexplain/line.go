// Package sdexplain reads log lines that were collected from many nodes. It
// builds the timeline of one request, or groups failed and refused requests by
// cause. The event names and field keys that it matches must not change, so that
// logs of older builds stay readable.
package sdexplain

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Line is one log event of one node.
type Line struct {
	Time time.Time
	Node string
	// Level is in lower case, such as "warn".
	Level string
	Event string
	// Fields are the key=value pairs in the order of the line.
	Fields []Field
}

// Field is one key=value pair.
type Field struct {
	Key, Value string
}

// Get returns the value of the first field with the key, or "" if there is
// none.
func (l Line) Get(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// maxLineBytes limits the length of a line; longer lines are skipped.
const maxLineBytes = 1 << 20

// linePattern captures the time, the level and the remaining text. A log
// collector may have put a prefix before them.
var linePattern = regexp.MustCompile(`(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+(?:Z|[+-]\d{4}|[+-]\d\d:\d\d)) \[(\w+)\] +(.*)$`)

// firstPair finds where the event's text ends and its pairs begin. No
// particular key can be expected there: the logger sorts the pairs that are
// common to all lines.
var firstPair = regexp.MustCompile(`: \w+=`)

var timeLayouts = []string{"2006-01-02T15:04:05.999999999Z07:00", "2006-01-02T15:04:05.999999999Z0700"}

// Parse reads one line. It reports false if the line is not an event of a node.
func Parse(text string) (Line, bool) {
	match := linePattern.FindStringSubmatch(text)
	if match == nil {
		return Line{}, false
	}
	line := Line{Level: strings.ToLower(match[2])}
	for _, layout := range timeLayouts {
		if parsed, err := time.Parse(layout, match[1]); err == nil {
			line.Time = parsed
			break
		}
	}
	message := match[3]
	pairStart := firstPair.FindStringIndex(message)
	if line.Time.IsZero() || pairStart == nil {
		return Line{}, false
	}
	line.Event = message[:pairStart[0]]
	if logger, event, ok := strings.Cut(line.Event, ": "); ok && !strings.Contains(logger, " ") {
		line.Event = event
	}
	line.Fields = parseFields(message[pairStart[0]+len(": "):])
	line.Node = line.Get("node")
	return line, line.Node != ""
}

// parseFields reads key=value pairs that are separated by spaces. A value with
// spaces is quoted.
func parseFields(text string) []Field {
	var fields []Field
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			break
		}
		var value string
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			value, _ = strconv.Unquote(quoted) // QuotedPrefix returns valid quoted text only
			rest = rest[len(quoted):]
		} else {
			value, rest, _ = strings.Cut(rest, " ")
			rest = " " + rest
		}
		fields = append(fields, Field{Key: strings.TrimSpace(key), Value: value})
		text = strings.TrimLeft(rest, " ")
	}
	return fields
}

// Read calls handle with every event of the input, in order. It returns the
// number of lines that were skipped because they are not events of a node or
// are too long.
func Read(input io.Reader, handle func(Line)) (skipped int, err error) {
	reader := bufio.NewReaderSize(input, maxLineBytes)
	for {
		text, isPrefix, err := reader.ReadLine()
		if err == io.EOF {
			return skipped, nil
		}
		if err != nil {
			return skipped, err
		}
		if isPrefix {
			skipped++
			for isPrefix && err == nil {
				_, isPrefix, err = reader.ReadLine()
			}
			continue
		}
		if line, ok := Parse(string(text)); ok {
			handle(line)
		} else {
			skipped++
		}
	}
}
