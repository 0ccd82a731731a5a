package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/config"
)

// Guards against committed schemas that differ from the records and settings of this build.
func TestCommittedSchemasAreCurrent(t *testing.T) {
	g := NewWithT(t)
	t.Chdir("../..")
	for name, generate := range generators {
		text, err := generate()
		g.Expect(err).NotTo(HaveOccurred())
		committed, err := os.ReadFile(filepath.Join(outputFolder, name))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(committed)).To(Equal(string(text)), "run: go generate ./docs/schema")
	}
}

// Guards against a schema that rejects declarations which the check command accepts.
func TestSchemaAdmitsTheSampleDeclarations(t *testing.T) {
	g := NewWithT(t)
	t.Chdir("../..")
	text, err := declarationsSchema()
	g.Expect(err).NotTo(HaveOccurred())
	var schema struct {
		Defs map[string]struct {
			Properties map[string]any `json:"properties"`
			Required   []string       `json:"required"`
		} `json:"$defs"`
	}
	g.Expect(json.Unmarshal(text, &schema)).To(Succeed())
	records, findings := config.LoadFiles([]string{"examples/sindhuli", "examples/lusorenda"})
	g.Expect(findings.Len()).To(BeZero())
	for _, r := range records {
		for field := range r.Fields {
			g.Expect(schema.Defs[string(r.Kind)].Properties).To(HaveKey(field))
		}
		for _, field := range schema.Defs[string(r.Kind)].Required {
			g.Expect(r.Fields).To(HaveKey(field), r.RecordID.String())
		}
	}
}
