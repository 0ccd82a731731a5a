package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/internal/loadtest"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

type runCommand struct {
	Daemon     string        `long:"daemon" description:"path of the mulberrygladed binary" required:"true"`
	Out        string        `long:"out" description:"folder of reports, plots and logs" required:"true"`
	Deployment string        `long:"deployment" description:"sample deployment" choice:"sindhuli" choice:"lusorenda" default:"sindhuli"`
	Scenario   string        `long:"scenario" description:"name of the scenario" default:"steady"`
	Policies   []string      `long:"policies" description:"routing/queueing/placement; may be repeated" default:"cost/fair/demand"`
	Seeds      []uint64      `long:"seed" description:"seed of the schedule; may be repeated" default:"1"`
	Rate       float64       `long:"rate" description:"calls per second over all members" default:"40"`
	Warmup     time.Duration `long:"warmup" description:"load before the measured time" default:"6s"`
	Duration   time.Duration `long:"duration" description:"measured time" default:"24s"`
	Slots      int           `long:"slots" description:"requests that an engine runs at once" default:"8"`
	Calls      bool          `long:"calls" description:"write a JSON line for each call"`
	LogLevel   string        `long:"daemon-log-level" description:"log level of the daemons" default:"info"`

	ctx context.Context
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	scenario, known := loadtest.Scenarios()[c.Scenario]
	if !known {
		return errors.Newf("unknown scenario %q; the scenarios are %s", c.Scenario, strings.Join(loadtest.ScenarioNames(), ", "))
	}
	for _, seed := range c.Seeds {
		for _, text := range c.Policies {
			policies, err := parsePolicies(text)
			if err != nil {
				return err
			}
			if err := c.runOne(scenario, policies, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

func parsePolicies(text string) (settings.Policies, error) {
	names := strings.Split(text, "/")
	if len(names) != 3 {
		return settings.Policies{}, errors.Newf("policies %q do not have the form routing/queueing/placement", text)
	}
	return settings.Policies{Routing: names[0], Queueing: names[1], Placement: names[2]}, nil
}

func (c *runCommand) runOne(scenario loadtest.Scenario, policies settings.Policies, seed uint64) error {
	name := fmt.Sprintf("%s-%s-%s-%d", c.Deployment, scenario.Name, loadtest.PolicyName(policies), seed)
	calls := ""
	if c.Calls {
		calls = filepath.Join(c.Out, name+".calls.jsonl")
	}
	report, err := loadtest.Experiment{
		Binary:     c.Daemon,
		Folder:     filepath.Join(c.Out, name+".logs"),
		Deployment: c.Deployment,
		Scenario:   scenario,
		Policies:   policies,
		Seed:       seed,
		Rate:       c.Rate,
		Warmup:     c.Warmup,
		Duration:   c.Duration,
		Slots:      c.Slots,
		CallsFile:  calls,
		LogLevel:   c.LogLevel,
	}.Run(c.ctx)
	if err != nil {
		return errors.Wrap(err, name)
	}
	report.Commit = commit()
	report.Command = strings.Join(shortenPaths(os.Args), " ")
	if err := loadtest.WriteReport(filepath.Join(c.Out, name+".json"), report); err != nil {
		return err
	}
	loadtest.PrintTable(os.Stdout, []loadtest.Report{report})
	return loadtest.Plot(filepath.Join(c.Out, name+".png"), []loadtest.Report{report})
}

// revision is set by the linker for builds that do not record it, as in a git worktree.
var revision string

// commit returns the revision from which the program was built. A suffix marks a build with uncommitted changes.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || revision != "" {
		return revision
	}
	recorded, modified := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			recorded = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+changes"
		}
	}
	return recorded + modified
}

// shortenPaths shortens absolute paths to their last element, so that reports do not contain local folder names.
func shortenPaths(arguments []string) []string {
	short := make([]string, len(arguments))
	for i, a := range arguments {
		short[i] = a
		if filepath.IsAbs(a) {
			short[i] = filepath.Base(a)
		}
	}
	return short
}
