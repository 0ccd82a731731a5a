// Package prompt derives from a request body what routing needs of a prompt: an estimate of its tokens and the hashes
// of its leading blocks. The text itself is not kept.
package prompt

import (
	"encoding/binary"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the size of a hashed block of prompt text; about 16 tokens of English text.
	BlockBytes = 64
	// MaxBlocks bounds the hashes of one prompt: routing by a longer common prefix changes no choice.
	MaxBlocks = 256
	// bytesPerToken is the usual ratio for text in Latin script.
	bytesPerToken = 4
	// tokensPerMessage is the overhead of role and separators.
	tokensPerMessage = 4
)

// Message is one message of a prompt. A completion prompt is one message without a role.
type Message struct {
	Role string
	Text string
}

// Digest is what is derived from a prompt.
type Digest struct {
	// Tokens is an estimate.
	Tokens int
	// PrefixHashes has one chained hash per full block, longest prefix last.
	PrefixHashes []uint64
}

// Of digests the messages of a prompt for a model. Prompts of different models or adapters share no hash, because their
// KV cache entries differ.
func Of(model string, messages []Message) Digest {
	chain := newChain(model)
	tokens := 0
	for _, m := range messages {
		chain.write(m.Role)
		chain.write("\x00")
		chain.write(m.Text)
		chain.write("\x00")
		tokens += Tokens(m.Text) + tokensPerMessage
	}
	return Digest{Tokens: tokens, PrefixHashes: chain.hashes}
}

// Tokens estimates the tokens of a text. Scripts outside of ASCII take about one token per character.
func Tokens(text string) int {
	ascii := 0
	for i := range len(text) {
		if text[i] < utf8.RuneSelf {
			ascii++
		}
	}
	wide := 0
	if ascii < len(text) {
		wide = utf8.RuneCountInString(text) - ascii
	}
	return (ascii+bytesPerToken-1)/bytesPerToken + wide
}

// chain hashes blocks so that each hash depends on all text before its end.
type chain struct {
	previous uint64
	block    []byte
	hashes   []uint64
}

func newChain(model string) *chain {
	return &chain{previous: xxhash.Sum64String(model), block: make([]byte, 0, BlockBytes)}
}

func (c *chain) write(text string) {
	for len(text) > 0 && len(c.hashes) < MaxBlocks {
		n := min(BlockBytes-len(c.block), len(text))
		c.block = append(c.block, text[:n]...)
		text = text[n:]
		if len(c.block) == BlockBytes {
			c.endBlock()
		}
	}
}

func (c *chain) endBlock() {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], c.previous)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.Write(c.block)
	c.previous = digest.Sum64()
	c.hashes = append(c.hashes, c.previous)
	c.block = c.block[:0]
}
