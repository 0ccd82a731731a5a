// Package strictjson decodes JSON documents written by people. It reports every unknown field, duplicate field and
// value of a wrong type with its JSON pointer, instead of stopping at the first error.
package strictjson

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// maxDepth is the maximum nesting depth of a document. Declarations and settings nest four levels deep.
const maxDepth = 64

var (
	errTooDeep       = errors.Newf("nested more than %d levels deep", maxDepth)
	errNotUTF8       = errors.New("not valid UTF-8")
	errTrailingText  = errors.New("text after the end of the document")
	errUnexpectedEnd = errors.New("unexpected end of the document")
	pointerEscapes   = strings.NewReplacer("~", "~0", "/", "~1")
)

// Document is a parsed JSON document.
type Document struct {
	// Root is a map[string]any, []any, string, json.Number, bool or nil.
	Root any
	// Duplicates holds the pointers of fields that occur more than once in an object. Root has their last value.
	Duplicates []string
}

// Parse parses one document. It returns an error for invalid syntax, invalid UTF-8 and nesting beyond maxDepth.
func Parse(data []byte) (Document, error) {
	if !utf8.Valid(data) {
		return Document{}, errNotUTF8
	}
	p := parser{dec: json.NewDecoder(bytes.NewReader(data))}
	p.dec.UseNumber()
	root, err := p.parseValue("", 0)
	if err != nil {
		return Document{}, err
	}
	if p.dec.More() {
		return Document{}, errTrailingText
	}
	// More returns false at a stray closing bracket.
	if _, err := p.dec.Token(); err == nil || !isEOF(err) {
		return Document{}, errTrailingText
	}
	return Document{Root: root, Duplicates: p.duplicates}, nil
}

// Join appends a field name to a JSON pointer.
func Join(pointer, field string) string {
	return pointer + "/" + pointerEscapes.Replace(field)
}

// JoinIndex appends an array index to a JSON pointer.
func JoinIndex(pointer string, index int) string {
	return pointer + "/" + strconv.Itoa(index)
}

// CompactJSON returns a node as compact JSON, or an empty string if it cannot be encoded.
func CompactJSON(node any) string {
	text, err := Canonical(node)
	if err != nil {
		return ""
	}
	return string(text)
}

// Canonical returns a node as compact JSON with sorted fields, so that equal documents have equal encodings.
func Canonical(node any) ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(node); err != nil {
		return nil, errors.Wrap(err, "encode JSON")
	}
	return bytes.TrimRight(b.Bytes(), "\n"), nil
}

type parser struct {
	dec        *json.Decoder
	duplicates []string
}

func (p *parser) parseValue(pointer string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errTooDeep
	}
	token, err := p.nextToken()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return p.parseObject(pointer, depth)
	case json.Delim('['):
		return p.parseArray(pointer, depth)
	default:
		return token, nil
	}
}

func (p *parser) parseObject(pointer string, depth int) (any, error) {
	object := make(map[string]any)
	for p.dec.More() {
		token, err := p.nextToken()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			// Not reached: the decoder rejects a field name that is not a string.
			return nil, errUnexpectedEnd
		}
		fieldPointer := Join(pointer, name)
		if _, seen := object[name]; seen {
			p.duplicates = append(p.duplicates, fieldPointer)
		}
		if object[name], err = p.parseValue(fieldPointer, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := p.nextToken()
	return object, err
}

func (p *parser) parseArray(pointer string, depth int) (any, error) {
	array := []any{}
	for p.dec.More() {
		node, err := p.parseValue(JoinIndex(pointer, len(array)), depth+1)
		if err != nil {
			return nil, err
		}
		array = append(array, node)
	}
	_, err := p.nextToken()
	return array, err
}

func (p *parser) nextToken() (json.Token, error) {
	token, err := p.dec.Token()
	if err != nil && isEOF(err) {
		return nil, errUnexpectedEnd
	}
	return token, errors.Wrapf(err, "at byte %d", p.dec.InputOffset())
}
