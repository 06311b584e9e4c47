package savorydeal_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdpolicy"
	"github.com/savorydeal/savorydeal/internal/sdrecord"
	"github.com/savorydeal/savorydeal/internal/sdrig"
	"github.com/savorydeal/savorydeal/internal/sdsettings"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
)

var update = flag.Bool("update-golden", false, "rewrite the tables of the handbook")

func readPage(t *testing.T, path string) string {
	t.Helper()
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// Every example is a policy that the nodes accept, and docs/POLICIES.md lists
// it.
func TestExamplePolicies(t *testing.T) {
	files, err := filepath.Glob("docs/examples/*/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	page := readPage(t, "docs/POLICIES.md")
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			var policy sdoperatorapi.Policy
			is.NoErr(policy.UnmarshalJSON([]byte(readPage(t, file))))
			_, err := sdpolicy.Validate(sdrecord.PolicyFromAPI(policy))
			is.NoErr(err)
			is.Equal(policy.Service+".json", filepath.Base(file))
			is.True(strings.Contains(page, strings.TrimPrefix(file, "docs/")))
		})
	}
}

const tableEnd = "\n\n"

// expectTable compares the rows of one table of a page with those of the
// program; -update-golden rewrites them.
func expectTable(t *testing.T, path, head string, rows []string) {
	t.Helper()
	begin := head + "\n" + strings.Repeat("| --- ", strings.Count(head, "|")-1) + "|\n"
	before, rest, found := strings.Cut(readPage(t, path), begin)
	table, after, closed := strings.Cut(rest, tableEnd)
	if !found || !closed {
		t.Fatalf("%s has no table %s", path, head)
	}
	want := strings.Join(rows, "\n")
	if *update {
		if err := os.WriteFile(path, []byte(before+begin+want+tableEnd+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if table != want {
		t.Errorf("%s differs from the program; go test . -update-golden rewrites it\n--- want\n%s\n--- got\n%s", path, want, table)
	}
}

func TestSettingsPage(t *testing.T) {
	var rows []string
	for _, setting := range sdsettings.All() {
		rows = append(rows, fmt.Sprintf("| `--%s` | `%s` | %s | %s |", setting.Flag, setting.Env(), setting.Default, setting.Help))
	}
	expectTable(t, "docs/SETTINGS.md", "| flag | variable | default | meaning |", rows)
}

// startNode starts one node that has seen one request.
func startNode(t *testing.T) *sdrig.Node {
	t.Helper()
	rig, err := sdrig.New(sdrig.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.Close)
	node, err := rig.StartNode(sdrig.NodeSpec{DataCentre: "ub-1", Region: "ub"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := node.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	caller := sdstandcaller.New(node.Settings.CallerAddress, 1)
	defer caller.Close()
	caller.Send(ctx, sdstandcaller.Request{Service: "none", Method: http.MethodGet, Path: "/"})
	return node
}

var helpPattern = regexp.MustCompile(`(?m)^# HELP (savorydeal_\w+) (.*)$`)

// docs/METRICS-AND-ALERTS.md lists every metric of a node, and none that is
// gone; its alerts use only these.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	node := startNode(t)
	response, err := http.Get("http://" + node.Settings.AdminAddress + "/metrics")
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	scraped, err := io.ReadAll(response.Body)
	is.NoErr(err)
	var rows []string
	known := make(map[string]bool)
	for _, match := range helpPattern.FindAllStringSubmatch(string(scraped), -1) {
		rows = append(rows, fmt.Sprintf("| `%s` | %s |", match[1], match[2]))
		known[match[1]] = true
	}
	expectTable(t, "docs/METRICS-AND-ALERTS.md", "| metric | meaning |", rows)
	for _, name := range regexp.MustCompile(`savorydeal_\w+`).FindAllString(readPage(t, "docs/METRICS-AND-ALERTS.md"), -1) {
		if !known[name] {
			t.Errorf("docs/METRICS-AND-ALERTS.md uses %s, which no node exports", name)
		}
	}
}

// docs/READING-A-DUMP.md lists every section of a dump with its fields.
func TestDumpPage(t *testing.T) {
	is := is.New(t)
	dump, err := startNode(t).Operators.GetDump(t.Context())
	is.NoErr(err)
	var rows []string
	for section, value := range dump {
		rows = append(rows, fmt.Sprintf("| `%s` | %s |", section, fieldsOf(value)))
	}
	slices.Sort(rows)
	expectTable(t, "docs/READING-A-DUMP.md", "| section | fields |", rows)
}

// fieldsOf names the fields of a section, or of the first of its entries.
func fieldsOf(section []byte) string {
	var list []map[string]json.RawMessage
	var one map[string]json.RawMessage
	switch {
	case json.Unmarshal(section, &list) == nil && len(list) == 0:
		return "a list, empty on a new node"
	case len(list) > 0:
		one = list[0]
	case json.Unmarshal(section, &one) != nil:
		return "one value"
	}
	var fields []string
	for field := range one {
		fields = append(fields, "`"+field+"`")
	}
	slices.Sort(fields)
	return strings.Join(fields, ", ")
}

// No link of a page is broken.
func TestHandbookLinks(t *testing.T) {
	pages, err := filepath.Glob("docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	link := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	for _, page := range append(pages, "README.md") {
		for _, match := range link.FindAllStringSubmatch(readPage(t, page), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s: broken link to %s", page, match[1])
			}
		}
	}
}
