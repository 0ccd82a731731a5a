package openaihttp

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

// inspectChunk sets the fields of the chunk from its data. Engines send one output token per choice with content.
func inspectChunk(chunk *engine.Chunk) error {
	if isSingleToken(chunk.Data) {
		chunk.Tokens = 1
		return nil
	}
	return decodeChunk(chunk)
}

var (
	finishField      = []byte(`"finish_reason"`)
	nullFinishReason = []byte(`"finish_reason":null`)
	usageField       = []byte(`"usage":{`)
	toolCallsField   = []byte(`"tool_calls"`)
	contentField     = []byte(`"content":"`)
	textField        = []byte(`"text":"`)
	emptyContent     = []byte(`"content":""`)
	emptyText        = []byte(`"text":""`)
)

// isSingleToken reports whether the chunk has the usual form, one token of one choice. It avoids decoding the JSON,
// which takes most of the time per chunk. The byte sequences that it searches for cannot occur in a JSON string, where
// quotes are escaped. It returns false for any other form, such as other white space; decodeChunk handles those.
func isSingleToken(data []byte) bool {
	if len(data) < 2 || data[0] != '{' || data[len(data)-1] != '}' {
		return false
	}
	if bytes.Count(data, finishField) != 1 || !bytes.Contains(data, nullFinishReason) {
		return false
	}
	if bytes.Contains(data, usageField) || bytes.Contains(data, toolCallsField) {
		return false
	}
	if bytes.Contains(data, emptyContent) || bytes.Contains(data, emptyText) {
		return false
	}
	return bytes.Contains(data, contentField) != bytes.Contains(data, textField)
}

func decodeChunk(chunk *engine.Chunk) error {
	var parsed struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content   string          `json:"content"`
				ToolCalls json.RawMessage `json:"tool_calls"`
			} `json:"delta"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Usage usage `json:"usage"`
	}
	if err := json.Unmarshal(chunk.Data, &parsed); err != nil {
		return errors.Wrapf(engine.ErrTruncated, "chunk is not JSON: %v", err)
	}
	for _, choice := range parsed.Choices {
		if choice.Text != "" || choice.Delta.Content != "" || len(choice.Delta.ToolCalls) > 0 {
			chunk.Tokens++
		}
		chunk.HasFinishReason = chunk.HasFinishReason || (choice.FinishReason != nil && *choice.FinishReason != "")
	}
	chunk.InputTokens = parsed.Usage.PromptTokens
	return nil
}
