// Package commands has the subcommands of the operators' command line that change state.
package commands

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/operator"
)

// Register adds the commands to the parser.
func Register(parser *flags.Parser, e *operator.Environment) {
	operator.AddCommand(parser, "apply", "Put declarations into effect", applyHelp, &applyCommand{env: e})
	key := operator.AddCommand(parser, "key", "Work with members' keys", "Works with members' bearer keys.", &struct{}{})
	operator.AddCommand(key, "hash", "Make the declaration of a key", keyHashHelp, &keyHashCommand{env: e})
	operator.AddCommand(parser, "drain", "Let an instance finish its work and exit", drainHelp, &drainCommand{env: e})
}

const applyHelp = `Validates the records of the files together with the stored ones, and creates or replaces them as a whole
or not at all. Records that no file names stay, unless --prune is given. A change that loses a race against another one
is repeated if they have no records in common, and refused otherwise.

Examples:
  mulberryglade apply --store http://10.0.0.1:2379 -f declarations/
  mulberryglade apply -f declarations/ --prune --change-id 2026-12-04-shares
  mulberryglade apply -f members.json --base-revision 4711`

type applyCommand struct {
	Files        []flags.Filename      `short:"f" long:"file" required:"true" value-name:"PATH" description:"Declaration file, or directory with files *.json; may be given more than once"`
	Prune        bool                  `long:"prune" description:"Delete all records that no file names"`
	BaseRevision int64                 `long:"base-revision" value-name:"N" description:"Revision that the files were made from; records that changed since are a conflict"`
	ChangeID     string                `long:"change-id" value-name:"ID" description:"Identifies the change over repeated attempts (default: a new UUID)"`
	Store        operator.StoreOptions `group:"Key-value store"`

	env *operator.Environment
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute(args []string) error {
	change, err := operator.LoadChange(c.Files, args, c.Prune)
	if err != nil {
		return err
	}
	change.ID = c.ChangeID
	change.BaseRevision = c.BaseRevision
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	repository, err := c.env.Repository(c.Store)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.env.Context, c.Store.Timeout)
	defer cancel()
	result, err := repository.Apply(ctx, change)
	if err != nil {
		return err
	}
	if c.env.JSON() {
		return c.env.PrintJSON(result)
	}
	return c.print(result)
}

func (c *applyCommand) print(result configstore.Result) error {
	if result.AlreadyApplied {
		_, err := fmt.Fprintf(c.env.Stdout, "change %s is already in effect as revision %d\n", result.ChangeID, result.Revision)
		return err
	}
	if err := operator.PrintDifference(c.env.Stdout, result.Difference, nil); err != nil {
		return err
	}
	if result.Empty() {
		_, err := fmt.Fprintf(c.env.Stdout, "no change; revision %d stays in effect\n", result.Revision)
		return err
	}
	if len(result.ConcurrentChangeIDs) > 0 {
		if _, err := fmt.Fprintf(c.env.Stdout, "applied after %s\n", strings.Join(result.ConcurrentChangeIDs, ", ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(c.env.Stdout, "change %s is in effect as revision %d\n", result.ChangeID, result.Revision)
	return err
}

const keyHashHelp = `Reads a bearer key from standard input and prints the hash for the field keys of a Member. The key itself
is not part of the output, except for its first characters.

Example:
  mulberryglade key hash < key.txt`

// maxKeyBytes bounds the input. It is far above the length of any usual key.
const maxKeyBytes = 4096

type keyHashCommand struct {
	env *operator.Environment
}

// Execute implements flags.Commander.
func (c *keyHashCommand) Execute(args []string) error {
	if err := operator.NoArguments(args); err != nil {
		return err
	}
	line, err := bufio.NewReader(io.LimitReader(c.env.Stdin, maxKeyBytes)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read the key from standard input")
	}
	hash, err := config.HashKey(strings.TrimSpace(line))
	if err != nil {
		return err
	}
	return c.env.PrintJSON(hash)
}

const drainHelp = `Asks an instance to accept no new work, finish what is in flight and exit. The name must be that of the
instance behind --admin.

Example:
  mulberryglade drain entry-3 --admin http://127.0.0.1:9480 --token-file operator.token`

type drainCommand struct {
	Arguments struct {
		Instance string `positional-arg-name:"INSTANCE"`
	} `positional-args:"true" required:"true"`
	Admin operator.AdminOptions `group:"Instance"`

	env *operator.Environment
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute(args []string) error {
	if err := operator.NoArguments(args); err != nil {
		return err
	}
	client, err := c.env.Admin(c.Admin)
	if err != nil {
		return err
	}
	var response adminapi.DrainResponse
	request := adminapi.DrainRequest{InstanceID: c.Arguments.Instance}
	if err := client.Post(c.env.Context, adminapi.PathDrain, request, &response); err != nil {
		return err
	}
	if c.env.JSON() {
		return c.env.PrintJSON(response)
	}
	_, err = fmt.Fprintf(c.env.Stdout, "%s is draining: %d calls in flight, %d queued\n",
		response.InstanceID, response.InFlight, response.Queued)
	return err
}
