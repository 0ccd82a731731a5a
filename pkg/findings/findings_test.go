package findings_test

import (
	"strings"
	"testing"
	"unicode/utf8"

	. "github.com/onsi/gomega"

	"github.com/mulberryglade/mulberryglade/pkg/findings"
)

// Guards against a value that is cut within a UTF-8 character, which is invalid in JSON output.
func TestLongValueIsCutBetweenCharacters(t *testing.T) {
	g := NewWithT(t)
	var list findings.List
	list.Add(findings.Finding{Value: "x" + strings.Repeat("क", findings.MaxValueLength)})
	value := list.Items()[0].Value
	g.Expect(utf8.ValidString(value)).To(BeTrue(), "%q", value)
	g.Expect(value).To(And(HavePrefix("xकक"), HaveSuffix("क...")))
	g.Expect(len(value)).To(BeNumerically("<=", findings.MaxValueLength+len("...")))
}

// Guards against separators around an empty file, pointer or value in the text of a finding.
func TestString(t *testing.T) {
	for want, f := range map[string]findings.Finding{
		"f.json: /a: is wrong (got 1)": {File: "f.json", Pointer: "/a", Value: "1", Message: "is wrong"},
		"f.json: is wrong":             {File: "f.json", Message: "is wrong"},
		"/a: is wrong":                 {Pointer: "/a", Message: "is wrong"},
		"is wrong":                     {Message: "is wrong"},
	} {
		NewWithT(t).Expect(f.String()).To(Equal(want))
	}
}
