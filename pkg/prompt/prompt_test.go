package prompt_test

import (
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberryglade/mulberryglade/internal/testkit"
	"github.com/mulberryglade/mulberryglade/pkg/prompt"
)

func TestPrompt(t *testing.T) {
	testkit.RunSpecs(t, "prompt")
}

var _ = Describe("Digest", func() {
	// Guards against hashes that depend on text after their block, which would make prefix affinity useless, and against
	// equal hashes of prompts whose text up to the end of the block differs.
	It("has equal hashes exactly for the common prefix", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := func(label string) string {
				return rapid.StringMatching(`[a-z]{0,300}`).Draw(t, label)
			}
			hashes := func(model, text string) []uint64 {
				return prompt.NewDigest(model, []prompt.Message{{Role: "user", Text: text}}).PrefixHashes
			}
			shared, left, right := text("shared"), text("left"), text("right")
			a, b := hashes("m", shared+"<"+left), hashes("m", shared+">"+right)
			common := (len("user\x00") + len(shared)) / prompt.BlockBytes
			for i := range min(len(a), len(b)) {
				if (a[i] == b[i]) != (i < common) {
					t.Fatalf("block %d of %d common blocks: equal=%v", i, common, a[i] == b[i])
				}
			}
			for _, h := range hashes("n", shared+"<"+left) {
				if slices.Contains(a, h) {
					t.Fatalf("two models share hash %d", h)
				}
			}
		})
	})

	// Guards against an unbounded number of hashes for a large prompt.
	It("bounds the number of hashes", func() {
		text := strings.Repeat("x", prompt.BlockBytes*(prompt.MaxBlocks+10))
		Expect(prompt.NewDigest("m", []prompt.Message{{Text: text}}).PrefixHashes).To(HaveLen(prompt.MaxBlocks))
	})

	// Guards against estimates that count the bytes of multi-byte characters or ignore short texts.
	DescribeTable("token estimate",
		func(text string, want int) { Expect(prompt.EstimateTokens(text)).To(Equal(want)) },
		Entry("empty", "", 0),
		Entry("one character", "a", 1),
		Entry("one token", "abcd", 1),
		Entry("one more character", "abcde", 2),
		Entry("Devanagari", "दाल", 3),
		Entry("mixed", "ab दाल", 4))
})
