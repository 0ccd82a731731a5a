// Package queries has the read-only subcommands of the operators' command line.
package queries

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/operator"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
)

// Register adds the queries to the parser.
func Register(parser *flags.Parser, e *operator.Environment) {
	operator.AddCommand(parser, "check", "Check declarations without a store", checkHelp, &checkQuery{env: e})
	operator.AddCommand(parser, "diff", "Show what apply would change", diffHelp, &diffQuery{env: e})
	operator.AddCommand(parser, "get", "Show stored records", getHelp, &getQuery{env: e})
	operator.AddCommand(parser, "version", "Show versions", "Shows the versions of the program and of the schemas.",
		&versionQuery{env: e})
	registerSchema(parser, e)
	registerInstance(parser, e)
}

const checkHelp = `Validates declaration files as a complete set, and checks that the minimum copies of all models and one copy of
each adapter fit the declared accelerators. All mistakes are reported, with file and JSON pointer; the exit code is then
3.

Example:
  mulberryglade check -f examples/sindhuli`

type checkQuery struct {
	Files []flags.Filename `short:"f" long:"file" required:"true" value-name:"PATH" description:"Declaration file, or directory with files *.json; may be given more than once"`

	env *operator.Environment
}

// checkResult has the number of records of each kind in a set without mistakes.
type checkResult struct {
	Records map[config.Kind]int `json:"records"`
}

// Execute implements flags.Commander.
func (q *checkQuery) Execute(args []string) error {
	raw, found := config.LoadFiles(operator.Paths(q.Files, args))
	records, invalid := config.Validate(raw)
	found.Append(invalid)
	if found.Len() == 0 {
		// CheckCapacity needs a complete set.
		found.Append(config.CheckCapacity(records, raw))
	}
	if err := found.Err(); err != nil {
		return err
	}
	result := checkResult{Records: make(map[config.Kind]int)}
	for _, r := range raw {
		result.Records[r.Kind]++
	}
	if q.env.JSON() {
		return q.env.PrintJSON(result)
	}
	_, err := fmt.Fprintf(q.env.Stdout, "%d records without mistakes; all minimum copies and adapters fit\n", len(raw))
	return err
}

const diffHelp = `Shows which records apply would create, update or delete, and which fields differ.

Example:
  mulberryglade diff -f declarations/ --prune`

type diffQuery struct {
	Files []flags.Filename      `short:"f" long:"file" required:"true" value-name:"PATH" description:"Declaration file, or directory with files *.json; may be given more than once"`
	Prune bool                  `long:"prune" description:"Compare as apply --prune does"`
	Store operator.StoreOptions `group:"Key-value store"`

	env *operator.Environment
}

// Execute implements flags.Commander.
func (q *diffQuery) Execute(args []string) error {
	change, err := operator.LoadChange(q.Files, args, q.Prune)
	if err != nil {
		return err
	}
	repository, err := q.env.Repository(q.Store)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(q.env.Context, q.Store.Timeout)
	defer cancel()
	comparison, err := repository.Compare(ctx, change)
	if err != nil {
		return err
	}
	if q.env.JSON() {
		return q.env.PrintJSON(comparison)
	}
	if _, err := fmt.Fprintf(q.env.Stdout, "compared with revision %d\n", comparison.Revision); err != nil {
		return err
	}
	return operator.PrintDifference(q.env.Stdout, comparison.Difference, comparison.Fields)
}

const getHelp = `Shows the stored records of a kind, or one of them in full.

Examples:
  mulberryglade get Model
  mulberryglade get Model menu-planner-7b
  mulberryglade -o json get Endpoint`

type getQuery struct {
	Arguments struct {
		Kind kindArgument `positional-arg-name:"KIND" required:"true"`
		Name string       `positional-arg-name:"NAME"`
	} `positional-args:"true"`
	Store operator.StoreOptions `group:"Key-value store"`

	env *operator.Environment
}

// Execute implements flags.Commander.
func (q *getQuery) Execute(args []string) error {
	if err := operator.NoArguments(args); err != nil {
		return err
	}
	repository, err := q.env.Repository(q.Store)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(q.env.Context, q.Store.Timeout)
	defer cancel()
	contents, err := repository.Read(ctx, nil)
	if err != nil {
		return err
	}
	return q.print(contents)
}

func (q *getQuery) print(contents *configstore.Contents) error {
	fields := []map[string]any{}
	var rows [][]string
	for _, r := range contents.Records() {
		if r.Kind != config.Kind(q.Arguments.Kind) || (q.Arguments.Name != "" && r.Name != q.Arguments.Name) {
			continue
		}
		fields = append(fields, r.Fields)
		rows = append(rows, []string{r.Name, fmt.Sprint(r.SchemaVersion()), fmt.Sprint(r.Revision), formatSummary(r)})
	}
	if q.Arguments.Name == "" {
		sortRows(rows)
		return q.env.Print(fields, []string{"NAME", "SCHEMA", "REVISION", "SUMMARY"}, rows)
	}
	if len(fields) == 0 {
		return errors.Newf("there is no %s %q in revision %d", q.Arguments.Kind, q.Arguments.Name, contents.Head.Revision)
	}
	return q.env.PrintJSON(fields[0])
}

type versionQuery struct {
	env *operator.Environment
}

type versions struct {
	Program            string `json:"program"`
	Go                 string `json:"go"`
	DeclarationsSchema int    `json:"declarationsSchema"`
	SettingsSchema     int    `json:"settingsSchema"`
}

// Execute implements flags.Commander.
func (q *versionQuery) Execute(args []string) error {
	if err := operator.NoArguments(args); err != nil {
		return err
	}
	v := versions{
		Program:            "unknown",
		DeclarationsSchema: config.NewestSchemaVersion,
		SettingsSchema:     settings.SchemaVersion,
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Program = info.Main.Version
		v.Go = info.GoVersion
	}
	return q.env.Print(v, nil, [][]string{
		{"program", v.Program},
		{"go", v.Go},
		{"declarations schema", fmt.Sprint(v.DeclarationsSchema)},
		{"settings schema", fmt.Sprint(v.SettingsSchema)},
	})
}
