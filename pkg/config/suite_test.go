package config_test

import (
	"testing"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
)

func TestConfig(t *testing.T) {
	testkit.RunSpecs(t, "config")
}
