package strictjson

import "reflect"

// Merge combines a written object with the stored one that it replaces. Fields that a reader of the given version knows
// come from written alone; stored fields that it does not know are kept, at every level. Elements of arrays of objects
// are matched by their known fields, since they have no names. The arguments are not modified. shape is a value of the
// struct type that the objects have.
func Merge(written, stored map[string]any, shape any, version int) map[string]any {
	return mergeObject(written, stored, reflect.TypeOf(shape), version)
}

func mergeObject(written, stored map[string]any, shape reflect.Type, version int) map[string]any {
	known := knownTypes(shape, version)
	merged := make(map[string]any, len(written)+len(stored))
	for name, node := range stored {
		if _, isKnown := known[name]; !isKnown {
			merged[name] = node
		}
	}
	for name, node := range written {
		merged[name] = node
		if fieldType, isKnown := known[name]; isKnown {
			merged[name] = mergeNode(node, stored[name], fieldType, version)
		}
	}
	return merged
}

func mergeNode(written, stored any, shape reflect.Type, version int) any {
	if shape.Kind() == reflect.Struct {
		writtenObject, ok := written.(map[string]any)
		storedObject, alsoOK := stored.(map[string]any)
		if ok && alsoOK {
			return mergeObject(writtenObject, storedObject, shape, version)
		}
	}
	if shape.Kind() != reflect.Slice || shape.Elem().Kind() != reflect.Struct {
		return written
	}
	writtenArray, ok := written.([]any)
	storedArray, alsoOK := stored.([]any)
	if !ok || !alsoOK {
		return written
	}
	return mergeArray(writtenArray, storedArray, shape.Elem(), version)
}

func mergeArray(written, stored []any, shape reflect.Type, version int) []any {
	known := knownTypes(shape, version)
	byKnownFields := make(map[string]any, len(stored))
	for _, node := range stored {
		byKnownFields[Text(project(node, known))] = node
	}
	merged := make([]any, len(written))
	for i, node := range written {
		merged[i] = node
		if same, found := byKnownFields[Text(node)]; found {
			merged[i] = same
		}
	}
	return merged
}

// project leaves only the known fields of an object.
func project(node any, known map[string]reflect.Type) any {
	object, ok := node.(map[string]any)
	if !ok {
		return node
	}
	projected := make(map[string]any, len(object))
	for name, child := range object {
		if _, isKnown := known[name]; isKnown {
			projected[name] = child
		}
	}
	return projected
}

func knownTypes(shape reflect.Type, version int) map[string]reflect.Type {
	fields := make(map[string]field)
	collectFields(reflect.New(shape).Elem(), fields)
	known := make(map[string]reflect.Type, len(fields))
	for name, f := range fields {
		if f.since <= version {
			known[name] = f.value.Type()
		}
	}
	return known
}
