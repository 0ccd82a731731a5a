package fleet

import lru "github.com/hashicorp/golang-lru/v2"

// maxCachedParts bounds the prompt parts recorded per endpoint. An engine caches some 150,000 tokens in parts of a few
// hundred tokens.
const maxCachedParts = 512

// PromptPart is one part of a prompt. Parts are in order from the beginning of the prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// promptKey identifies a part for a model and adapter. Engines share no cached parts between models or adapters.
type promptKey struct {
	model   string
	adapter string
	part    uint64
}

// promptCache records the prompt parts that were sent to an endpoint and are probably still cached there.
type promptCache struct {
	parts *lru.Cache[promptKey, struct{}]
}

func newPromptCache() *promptCache {
	parts, err := lru.New[promptKey, struct{}](maxCachedParts)
	if err != nil {
		// The only error is a size below one.
		panic(err)
	}
	return &promptCache{parts: parts}
}

// keptTokens returns the number of tokens in the leading parts that were sent before.
func (c *promptCache) keptTokens(model, adapter string, parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if !c.parts.Contains(promptKey{model, adapter, p.ID}) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// record records that the parts were sent to the endpoint.
func (c *promptCache) record(model, adapter string, parts []PromptPart) {
	for _, p := range parts {
		c.parts.Add(promptKey{model, adapter, p.ID}, struct{}{})
	}
}
