package queries

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mulberryglade/mulberryglade/pkg/logquery"
	"github.com/mulberryglade/mulberryglade/pkg/operator"
)

const logHelp = `Shows what happened to a request, from the logs of the instances: its own lines, and what the instances learned at
that time of the endpoints and models that it met. Without files the logs are read from standard input.

Examples:
  mulberryglade explain log 9c41d07be2a35f68 edge-1.log edge-2.log
  journalctl -o cat | mulberryglade explain log 9c41d07be2a35f68`

type logQuery struct {
	Arguments struct {
		Request string           `positional-arg-name:"REQUEST-ID" required:"true"`
		Files   []flags.Filename `positional-arg-name:"FILE"`
	} `positional-args:"true"`

	env *operator.Environment
}

// Execute implements flags.Commander.
func (q *logQuery) Execute(args []string) error {
	if err := operator.NoArguments(args); err != nil {
		return err
	}
	lines, err := q.read()
	if err != nil {
		return err
	}
	requestLines := logquery.RequestLines(lines, q.Arguments.Request)
	if len(requestLines) == 0 {
		return errors.Newf("no log line of request %q found", q.Arguments.Request)
	}
	for i := range requestLines {
		if _, err := io.WriteString(q.env.Stdout, requestLines[i].String()+"\n"); err != nil {
			return err
		}
	}
	return nil
}

func (q *logQuery) read() ([]logquery.Line, error) {
	if len(q.Arguments.Files) == 0 {
		return logquery.Read(q.env.Stdin)
	}
	var all []logquery.Line
	for _, name := range q.Arguments.Files {
		lines, err := readFile(string(name))
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readFile(name string) ([]logquery.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	return logquery.Read(file)
}
