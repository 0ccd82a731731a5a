package main

import (
	"os"

	"github.com/mulberryglade/mulberryglade/internal/loadtest"
)

type compareCommand struct {
	Plot string `long:"plot" description:"PNG file with one line per policy, for reports of one scenario"`
	Args struct {
		Reports []string `positional-arg-name:"report" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	var reports []loadtest.Report
	for _, path := range c.Args.Reports {
		report, err := loadtest.ReadReport(path)
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	loadtest.PrintTable(os.Stdout, reports)
	if c.Plot == "" {
		return nil
	}
	return loadtest.Plot(c.Plot, loadtest.MergeSeries(reports))
}
