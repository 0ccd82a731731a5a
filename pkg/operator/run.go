package operator

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/problem"
)

// Exit codes of the command line.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage means that the command line arguments are invalid.
	ExitUsage = 2
	// ExitFindings means that declarations or settings have mistakes; nothing took effect.
	ExitFindings = 3
	// ExitConflict means that the change conflicts with an earlier one; nothing took effect.
	ExitConflict = 4
	// ExitUnavailable means that the store or the instance cannot be reached; nothing took effect.
	ExitUnavailable = 5
	// ExitOutcomeUnknown means that the command may have taken effect. It is safe to repeat the command (apply: with
	// the same --change-id), which determines the outcome.
	ExitOutcomeUnknown = 6
)

const longDescription = `mulberryglade checks and applies declarations, and shows what an instance does.

Exit codes:
  0  done
  1  failure
  2  wrong usage
  3  declarations have mistakes; nothing took effect
  4  another change came first; nothing took effect
  5  store or instance unavailable; nothing took effect
  6  outcome unknown; repeat the command (apply: with the same --change-id)

Shell completion for bash:
  _mulberryglade() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "$1" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
  }
  complete -F _mulberryglade mulberryglade`

// NewParser returns a parser without commands.
func NewParser(e *Environment) *flags.Parser {
	parser := flags.NewNamedParser("mulberryglade", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Global options", "", &e.global); err != nil {
		// Only a mistake in the struct tags can cause this.
		panic(err)
	}
	return parser
}

// AddCommand adds a command. If the command has no subcommands, data must implement flags.Commander.
func AddCommand(parent interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}, name, short, long string, data any) *flags.Command {
	command, err := parent.AddCommand(name, short, joinLines(long), data)
	if err != nil {
		// Only a mistake in the struct tags can cause this.
		panic(err)
	}
	return command
}

// joinLines joins the lines of each paragraph, because go-flags wraps the text to the width of the terminal but keeps
// its line breaks. Indented lines, such as examples, are not joined.
func joinLines(text string) string {
	lines := strings.Split(text, "\n")
	joined := lines[:1]
	for _, line := range lines[1:] {
		last := &joined[len(joined)-1]
		if line == "" || *last == "" || line[0] == ' ' || (*last)[0] == ' ' {
			joined = append(joined, line)
			continue
		}
		*last += " " + line
	}
	return strings.Join(joined, "\n")
}

// Run executes the command line and returns the exit code.
func Run(parser *flags.Parser, e *Environment, args []string) int {
	_, err := parser.ParseArgs(args)
	return e.reportError(err)
}

// NoArguments returns an error if there are arguments. It is for commands that take none.
func NoArguments(args []string) error {
	if len(args) == 0 {
		return nil
	}
	return UsageError("unexpected argument %q", args[0])
}

// reportError prints the error, if any, and returns the exit code.
func (e *Environment) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	var usageErr *flags.Error
	if errors.As(err, &usageErr) && usageErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(e.Stdout, usageErr.Message)
		return ExitOK
	}
	code := exitCode(err)
	if e.JSON() {
		_ = e.PrintJSON(newFailure(err, code))
	}
	_, _ = fmt.Fprintf(e.Stderr, "mulberryglade: %v\n", err)
	return code
}

func exitCode(err error) int {
	var usageErr *flags.Error
	var findingsErr *findings.Error
	var conflictErr *configstore.Conflict
	var problemErr *problem.Problem
	switch {
	case errors.As(err, &usageErr), errors.Is(err, ErrUsage), errors.Is(err, configstore.ErrChangeID):
		return ExitUsage
	case errors.As(err, &findingsErr):
		return ExitFindings
	case errors.As(err, &conflictErr), errors.Is(err, configstore.ErrChangeIDReused), errors.Is(err, configstore.ErrContention):
		return ExitConflict
	case errors.Is(err, kvstore.ErrOutcomeUnknown), errors.Is(err, adminapi.ErrNoReply):
		return ExitOutcomeUnknown
	case errors.As(err, &problemErr) && problemErr.Status >= 500 && problemErr.Outcome == problem.Unknown:
		return ExitOutcomeUnknown
	case errors.As(err, &problemErr) && problemErr.Status == http.StatusServiceUnavailable:
		return ExitUnavailable
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, adminapi.ErrUnreachable):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

// failure is the JSON form of an error.
type failure struct {
	Error    string                `json:"error"`
	ExitCode int                   `json:"exitCode"`
	Findings []findings.Finding    `json:"findings,omitempty"`
	Conflict *configstore.Conflict `json:"conflict,omitempty"`
}

func newFailure(err error, code int) failure {
	f := failure{Error: err.Error(), ExitCode: code}
	var findingsErr *findings.Error
	if errors.As(err, &findingsErr) {
		f.Findings = findingsErr.Findings
	}
	errors.As(err, &f.Conflict)
	return f
}
