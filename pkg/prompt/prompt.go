// Package prompt computes the properties of a prompt that routing needs: an estimate of its tokens and the hashes of
// its leading blocks. The text itself is not kept.
package prompt

import (
	"encoding/binary"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the size of a hashed block of prompt text, about 16 tokens of English text.
	BlockBytes = 64
	// MaxBlocks bounds the number of hashes of one prompt. A longer common prefix does not change a routing decision.
	MaxBlocks = 256
	// bytesPerToken is the usual ratio for text in Latin script.
	bytesPerToken = 4
	// tokensPerMessage is the overhead of the role and separators of a message.
	tokensPerMessage = 4
)

// Message is one message of a prompt. A completion prompt is one message without a role.
type Message struct {
	Role string
	Text string
}

// Digest has the properties of a prompt that routing uses.
type Digest struct {
	// Tokens is the estimated number of tokens.
	Tokens int
	// PrefixHashes has one hash per full block, in order. Each hash covers all text up to the end of its block.
	PrefixHashes []uint64
}

// NewDigest returns the digest of a prompt for a model. Prompts of different models or adapters share no hash, because
// their KV cache entries differ.
func NewDigest(model string, messages []Message) Digest {
	chain := newHashChain(model)
	tokens := 0
	for _, m := range messages {
		chain.write(m.Role)
		chain.write("\x00")
		chain.write(m.Text)
		chain.write("\x00")
		tokens += EstimateTokens(m.Text) + tokensPerMessage
	}
	return Digest{Tokens: tokens, PrefixHashes: chain.hashes}
}

// EstimateTokens estimates the number of tokens of a text. A character outside of ASCII is about one token.
func EstimateTokens(text string) int {
	ascii := 0
	for i := range len(text) {
		if text[i] < utf8.RuneSelf {
			ascii++
		}
	}
	nonASCII := 0
	if ascii < len(text) {
		nonASCII = utf8.RuneCountInString(text) - ascii
	}
	return (ascii+bytesPerToken-1)/bytesPerToken + nonASCII
}

// hashChain computes the hashes of blocks. Each hash depends on the model and on all text up to the end of its block.
type hashChain struct {
	previousHash uint64
	block        []byte
	hashes       []uint64
}

func newHashChain(model string) *hashChain {
	return &hashChain{previousHash: xxhash.Sum64String(model), block: make([]byte, 0, BlockBytes)}
}

func (c *hashChain) write(text string) {
	for len(text) > 0 && len(c.hashes) < MaxBlocks {
		n := min(BlockBytes-len(c.block), len(text))
		c.block = append(c.block, text[:n]...)
		text = text[n:]
		if len(c.block) == BlockBytes {
			c.hashBlock()
		}
	}
}

func (c *hashChain) hashBlock() {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], c.previousHash)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.Write(c.block)
	c.previousHash = digest.Sum64()
	c.hashes = append(c.hashes, c.previousHash)
	c.block = c.block[:0]
}
