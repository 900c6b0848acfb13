package tasks_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for package rapid, so that every run checks the same
// cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20260101"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
