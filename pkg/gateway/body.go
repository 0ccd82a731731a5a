package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/problem"
	"github.com/mulberryglade/mulberryglade/pkg/prompt"
)

// maxModelIDLength bounds the bytes of the model id in a body.
const maxModelIDLength = 256

// inferenceParams has the fields that the gateway reads from the body of a model call. The engine receives the body
// unchanged.
type inferenceParams struct {
	model  string
	stream bool
	// maxTokens is zero when the caller set no limit.
	maxTokens int
	messages  []prompt.Message
}

// parseInference validates a body and returns its parameters. Names of top-level fields are case-sensitive and
// duplicates are rejected: an engine that resolves these differently could run a model that the member was not
// authorized for.
func parseInference(body []byte, chat bool) (inferenceParams, *problem.Problem) {
	if !utf8.Valid(body) {
		return inferenceParams{}, invalidRequest("The body is not valid UTF-8.")
	}
	fields, err := topLevelFields(body)
	if err != nil {
		return inferenceParams{}, invalidRequest("The body must be one JSON object: " + err.Error() + ".")
	}
	var parsed inferenceParams
	parsers := []func(map[string]json.RawMessage, *inferenceParams) string{
		parseModel, parseStreamAndChoices, parseTokenLimits, parsePrompt,
	}
	if chat {
		parsers[len(parsers)-1] = parseMessages
	}
	for _, parse := range parsers {
		if detail := parse(fields, &parsed); detail != "" {
			return inferenceParams{}, invalidRequest(detail)
		}
	}
	return parsed, nil
}

var (
	errNotObject = errors.New("it is not an object")
	errTrailing  = errors.New("data follows the object")
	errDuplicate = errors.New("a field occurs twice")
	errSyntax    = errors.New("syntax error")
)

func topLevelFields(body []byte) (map[string]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	first, err := decoder.Token()
	if err != nil {
		return nil, errSyntax
	}
	if first != json.Delim('{') {
		return nil, errNotObject
	}
	fields := make(map[string]json.RawMessage)
	for decoder.More() {
		key, err := decoder.Token()
		name, ok := key.(string)
		if err != nil || !ok {
			return nil, errSyntax
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, errSyntax
		}
		if _, twice := fields[name]; twice {
			return nil, errDuplicate
		}
		fields[name] = value
	}
	if _, err := decoder.Token(); err != nil {
		return nil, errSyntax
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errTrailing
	}
	return fields, nil
}

// isSet reports whether a field is present and not null.
func isSet(raw json.RawMessage) bool {
	return len(raw) > 0 && string(raw) != "null"
}

func parseModel(fields map[string]json.RawMessage, parsed *inferenceParams) string {
	if err := json.Unmarshal(fields["model"], &parsed.model); err != nil || parsed.model == "" {
		return "The field model must be a non-empty string."
	}
	if len(parsed.model) > maxModelIDLength {
		return "The field model is too long."
	}
	return ""
}

func parseStreamAndChoices(fields map[string]json.RawMessage, parsed *inferenceParams) string {
	if raw := fields["stream"]; isSet(raw) && json.Unmarshal(raw, &parsed.stream) != nil {
		return "The field stream must be true or false."
	}
	for _, name := range []string{"n", "best_of"} {
		if raw := fields[name]; isSet(raw) && string(raw) != "1" {
			return "The field " + name + " must be 1."
		}
	}
	return ""
}

func parseTokenLimits(fields map[string]json.RawMessage, parsed *inferenceParams) string {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		raw := fields[name]
		if !isSet(raw) {
			continue
		}
		limit, err := strconv.Atoi(string(raw))
		if err != nil || limit < 1 {
			return "The field " + name + " must be a positive integer."
		}
		parsed.maxTokens = max(parsed.maxTokens, limit)
	}
	return ""
}

func parsePrompt(fields map[string]json.RawMessage, parsed *inferenceParams) string {
	var text string
	if json.Unmarshal(fields["prompt"], &text) == nil && isSet(fields["prompt"]) {
		parsed.messages = []prompt.Message{{Text: text}}
		return ""
	}
	var texts []string
	if json.Unmarshal(fields["prompt"], &texts) != nil || len(texts) != 1 {
		return "The field prompt must be a string or an array of one string."
	}
	parsed.messages = []prompt.Message{{Text: texts[0]}}
	return ""
}

func parseMessages(fields map[string]json.RawMessage, parsed *inferenceParams) string {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if json.Unmarshal(fields["messages"], &messages) != nil || len(messages) == 0 {
		return "The field messages must be a non-empty array of messages."
	}
	for _, m := range messages {
		text, ok := contentText(m.Content)
		if m.Role == "" || !ok {
			return "Each message needs a role and a content that is a string or an array of parts."
		}
		parsed.messages = append(parsed.messages, prompt.Message{Role: m.Role, Text: text})
	}
	return ""
}

// contentText returns the text of a message's content, and whether the content is valid. A message with tool calls may
// have no content.
func contentText(raw json.RawMessage) (string, bool) {
	if !isSet(raw) {
		return "", true
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	for _, part := range parts {
		text += part.Text
	}
	return text, true
}
