// Package sdgolden compares the output of a test with a golden file in its
// testdata folder. `make golden` rewrites the files.
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

// Expect fails the test if got differs from testdata/name.golden. With the flag
// -update-golden it writes the file instead.
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
		t.Fatalf("read golden file: %v; run make golden to create it", err)
	}
	if string(want) != got {
		t.Errorf("%s differs from the output; if the change is intended, run make golden\n--- want\n%s--- got\n%s", path, want, got)
	}
}
