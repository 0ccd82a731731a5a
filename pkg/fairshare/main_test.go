package fairshare_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that every run gives the same verdict; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
