// Package strictjson reads JSON documents that people write: it reports every unknown field, duplicate field and value
// of a wrong type with its JSON pointer, instead of stopping at the first one.
package strictjson

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// maxDepth bounds the nesting of a document; declarations and settings nest four levels deep.
const maxDepth = 64

var (
	errTooDeep     = errors.Newf("nested more than %d levels deep", maxDepth)
	errNotUTF8     = errors.New("not valid UTF-8")
	errTrailing    = errors.New("text after the end of the document")
	errUnexpected  = errors.New("unexpected end of the document")
	pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")
)

// Document is a parsed JSON document. Root holds map[string]any, []any, string, json.Number, bool or nil.
type Document struct {
	Root any
	// Duplicates are the pointers of fields that occur more than once in their object; Root has the last value.
	Duplicates []string
}

// Parse reads one document. Errors: any syntax error, text that is not UTF-8, or nesting that is too deep.
func Parse(data []byte) (Document, error) {
	if !utf8.Valid(data) {
		return Document{}, errNotUTF8
	}
	p := parser{dec: json.NewDecoder(bytes.NewReader(data))}
	p.dec.UseNumber()
	root, err := p.value("", 0)
	if err != nil {
		return Document{}, err
	}
	if p.dec.More() {
		return Document{}, errTrailing
	}
	// More does not see a stray closing bracket.
	if _, err := p.dec.Token(); err == nil || !isEOF(err) {
		return Document{}, errTrailing
	}
	return Document{Root: root, Duplicates: p.duplicates}, nil
}

// Join appends a field name to a pointer.
func Join(pointer, field string) string {
	return pointer + "/" + pointerEscapes.Replace(field)
}

// JoinIndex appends an array index to a pointer.
func JoinIndex(pointer string, index int) string {
	return pointer + "/" + strconv.Itoa(index)
}

// Text returns a node as compact JSON.
func Text(node any) string {
	text, err := Canonical(node)
	if err != nil {
		return ""
	}
	return string(text)
}

// Canonical returns a node as compact JSON with sorted fields, so that equal documents have equal bytes.
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

func (p *parser) value(pointer string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errTooDeep
	}
	token, err := p.token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return p.object(pointer, depth)
	case json.Delim('['):
		return p.array(pointer, depth)
	default:
		return token, nil
	}
}

func (p *parser) object(pointer string, depth int) (any, error) {
	object := make(map[string]any)
	for p.dec.More() {
		token, err := p.token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, errUnexpected
		}
		at := Join(pointer, name)
		if _, seen := object[name]; seen {
			p.duplicates = append(p.duplicates, at)
		}
		if object[name], err = p.value(at, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := p.token()
	return object, err
}

func (p *parser) array(pointer string, depth int) (any, error) {
	array := []any{}
	for p.dec.More() {
		node, err := p.value(JoinIndex(pointer, len(array)), depth+1)
		if err != nil {
			return nil, err
		}
		array = append(array, node)
	}
	_, err := p.token()
	return array, err
}

func (p *parser) token() (json.Token, error) {
	token, err := p.dec.Token()
	if err != nil && isEOF(err) {
		return nil, errUnexpected
	}
	return token, errors.Wrapf(err, "at byte %d", p.dec.InputOffset())
}
