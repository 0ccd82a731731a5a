package fleet

import lru "github.com/hashicorp/golang-lru/v2"

// promptCacheParts bounds the prompt parts remembered per endpoint. An engine keeps some 150,000 tokens in parts of a few
// hundred tokens.
const promptCacheParts = 512

// PromptPart is one part of a prompt, in order from its beginning.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// promptKey identifies a part for a model and adapter; engines share nothing between them.
type promptKey struct {
	model   string
	adapter string
	part    uint64
}

// promptCache remembers which prompt parts were sent to an endpoint and are probably still kept there.
type promptCache struct {
	parts *lru.Cache[promptKey, struct{}]
}

func newPromptCache() *promptCache {
	parts, err := lru.New[promptKey, struct{}](promptCacheParts)
	if err != nil {
		// The only error is a size below one.
		panic(err)
	}
	return &promptCache{parts: parts}
}

// kept returns the tokens of the leading parts that were sent before.
func (c *promptCache) kept(model, adapter string, parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if !c.parts.Contains(promptKey{model, adapter, p.ID}) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// note records that the endpoint has read the parts.
func (c *promptCache) note(model, adapter string, parts []PromptPart) {
	for _, p := range parts {
		c.parts.Add(promptKey{model, adapter, p.ID}, struct{}{})
	}
}
