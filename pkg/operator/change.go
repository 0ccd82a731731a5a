package operator

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
)

// LoadChange reads the files of a change. These include the paths in args, such as the paths to which a shell expands a
// pattern after -f. Errors: *findings.Error.
func LoadChange(files []flags.Filename, args []string, prune bool) (configstore.Change, error) {
	records, found := config.LoadFiles(Paths(files, args))
	return configstore.Change{Records: records, Prune: prune}, found.Err()
}

// Paths returns the values of -f and the paths in args.
func Paths(files []flags.Filename, args []string) []string {
	var paths []string
	for _, file := range files {
		paths = append(paths, string(file))
	}
	return append(paths, args...)
}

// PrintDifference writes one line per record, with the changed fields below each updated record.
func PrintDifference(w io.Writer, d configstore.Difference, fields []configstore.FieldDifference) error {
	p := lineWriter{w: w}
	for _, id := range d.Created {
		p.line("+ %s", id)
	}
	for _, id := range d.Updated {
		p.line("~ %s", id)
		for _, f := range fields {
			if f.Record == id {
				p.line("    %s: %s -> %s", f.Field, orAbsent(f.Before), orAbsent(f.After))
			}
		}
	}
	for _, id := range d.Deleted {
		p.line("- %s", id)
	}
	p.line("%d created, %d updated, %d deleted, %d unchanged", len(d.Created), len(d.Updated), len(d.Deleted), d.Unchanged)
	return p.err
}

func orAbsent(value []byte) string {
	if len(value) == 0 {
		return "(absent)"
	}
	return string(value)
}

// lineWriter writes lines until the first error and keeps that error.
type lineWriter struct {
	w   io.Writer
	err error
}

func (p *lineWriter) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}
