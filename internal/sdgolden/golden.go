// Package sdgolden compares what a test got with a file in its testdata
// folder. `make golden` rewrites the files.
package sdgolden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update-golden", false, "rewrite golden files")

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Expect fails the test if got differs from testdata/name.golden.
func Expect(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.MkdirAll("testdata", folderMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), fileMode); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("%v; write it with make golden", err)
	}
	if string(want) != got {
		t.Errorf("%s differs\n--- want\n%s--- got\n%s", path, want, got)
	}
}
