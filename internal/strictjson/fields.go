package strictjson

import "reflect"

// Merge combines a written object with the stored object that it replaces. Known fields, which are those of the struct
// type of sample up to readerVersion, come from written only. Unknown fields of stored are kept at every level. Array
// elements that are objects have no names, so they are matched by their known fields. The arguments are not modified.
func Merge(written, stored map[string]any, sample any, readerVersion int) map[string]any {
	return mergeObject(written, stored, reflect.TypeOf(sample), readerVersion)
}

func mergeObject(written, stored map[string]any, structType reflect.Type, readerVersion int) map[string]any {
	known := knownTypes(structType, readerVersion)
	merged := make(map[string]any, len(written)+len(stored))
	for name, node := range stored {
		if _, isKnown := known[name]; !isKnown {
			merged[name] = node
		}
	}
	for name, node := range written {
		merged[name] = node
		if fieldType, isKnown := known[name]; isKnown {
			merged[name] = mergeNode(node, stored[name], fieldType, readerVersion)
		}
	}
	return merged
}

func mergeNode(written, stored any, nodeType reflect.Type, readerVersion int) any {
	if nodeType.Kind() == reflect.Struct {
		writtenObject, ok := written.(map[string]any)
		storedObject, alsoOK := stored.(map[string]any)
		if ok && alsoOK {
			return mergeObject(writtenObject, storedObject, nodeType, readerVersion)
		}
	}
	if nodeType.Kind() != reflect.Slice || nodeType.Elem().Kind() != reflect.Struct {
		return written
	}
	writtenArray, ok := written.([]any)
	storedArray, alsoOK := stored.([]any)
	if !ok || !alsoOK {
		return written
	}
	return mergeArray(writtenArray, storedArray, nodeType.Elem(), readerVersion)
}

func mergeArray(written, stored []any, elementType reflect.Type, readerVersion int) []any {
	known := knownTypes(elementType, readerVersion)
	byKnownFields := make(map[string]any, len(stored))
	for _, node := range stored {
		byKnownFields[CompactJSON(keepKnownFields(node, known))] = node
	}
	merged := make([]any, len(written))
	for i, node := range written {
		merged[i] = node
		if storedNode, found := byKnownFields[CompactJSON(node)]; found {
			merged[i] = storedNode
		}
	}
	return merged
}

// keepKnownFields returns a copy of an object with its known fields only.
func keepKnownFields(node any, known map[string]reflect.Type) any {
	object, ok := node.(map[string]any)
	if !ok {
		return node
	}
	kept := make(map[string]any, len(object))
	for name, child := range object {
		if _, isKnown := known[name]; isKnown {
			kept[name] = child
		}
	}
	return kept
}

func knownTypes(structType reflect.Type, readerVersion int) map[string]reflect.Type {
	fields := make(map[string]field)
	collectFields(reflect.New(structType).Elem(), fields)
	known := make(map[string]reflect.Type, len(fields))
	for name, f := range fields {
		if f.since <= readerVersion {
			known[name] = f.value.Type()
		}
	}
	return known
}
