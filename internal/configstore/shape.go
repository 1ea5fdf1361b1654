package configstore

import (
	"encoding/json"
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// checkShape compares a merge patch with the schema and returns every unknown
// field and every value of a wrong type. The parser of protojson would stop at
// the first one, and a null for an unknown field would pass it unseen.
func checkShape(patch map[string]any) []Fault {
	var found faults
	if _, ok := patch["number"]; ok {
		found.add("number", "is set by the fleet and must not be patched")
		delete(patch, "number")
	}
	descriptor := (&zinniaquayv1.Configuration{}).ProtoReflect().Descriptor()
	checkMessage(&found, "", patch, descriptor)
	return found.sorted()
}

func checkMessage(found *faults, path string, object map[string]any, message protoreflect.MessageDescriptor) {
	for name, value := range object {
		field := message.Fields().ByName(protoreflect.Name(name))
		if field == nil {
			found.add(join(path, name), "unknown field")
			continue
		}
		if value != nil {
			checkField(found, join(path, name), value, field)
		}
	}
}

func checkField(found *faults, path string, value any, field protoreflect.FieldDescriptor) {
	switch {
	case field.IsMap():
		checkMap(found, path, value, field.MapValue())
	case field.IsList() && isPlainMessage(field):
		checkList(found, path, value, field.Message())
	case isPlainMessage(field):
		checkObject(found, path, value, field.Message())
	case !parses(value, field):
		found.add(path, "must be %s", expected(field))
	}
}

func checkMap(found *faults, path string, value any, of protoreflect.FieldDescriptor) {
	entries, ok := value.(map[string]any)
	if !ok {
		found.add(path, "must be an object")
		return
	}
	for name, entry := range entries {
		if entry != nil {
			checkObject(found, join(path, name), entry, of.Message())
		}
	}
}

func checkList(found *faults, path string, value any, message protoreflect.MessageDescriptor) {
	items, ok := value.([]any)
	if !ok {
		found.add(path, "must be a list")
		return
	}
	for i, item := range items {
		checkObject(found, fmt.Sprintf("%s[%d]", path, i), item, message)
	}
}

func checkObject(found *faults, path string, value any, message protoreflect.MessageDescriptor) {
	object, ok := value.(map[string]any)
	if !ok {
		found.add(path, "must be an object")
		return
	}
	checkMessage(found, path, object, message)
}

// isPlainMessage reports whether a field holds a message that JSON writes as an
// object; durations and time stamps are written as strings.
func isPlainMessage(field protoreflect.FieldDescriptor) bool {
	return field.Message() != nil && field.Message().ParentFile().Package() != "google.protobuf"
}

// parses reports whether the JSON parser takes a value for a field.
func parses(value any, field protoreflect.FieldDescriptor) bool {
	data, err := json.Marshal(map[string]any{string(field.Name()): value})
	if err != nil {
		return false
	}
	kind, err := protoregistry.GlobalTypes.FindMessageByName(field.ContainingMessage().FullName())
	if err != nil {
		return false
	}
	return protojson.Unmarshal(data, kind.New().Interface()) == nil
}

// expected names what a field's value must be.
func expected(field protoreflect.FieldDescriptor) string {
	one := expectedOne(field)
	if field.IsList() {
		return "a list; each item " + one
	}
	return one
}

func expectedOne(field protoreflect.FieldDescriptor) string {
	switch field.Kind() {
	case protoreflect.StringKind:
		return "a string"
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.DoubleKind:
		return "a number"
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		return "a whole number, 0 or more"
	case protoreflect.EnumKind:
		return "one of " + enumNames(field.Enum())
	case protoreflect.MessageKind:
		return expectedText(field.Message().Name())
	default:
		return "of type " + field.Kind().String()
	}
}

func expectedText(message protoreflect.Name) string {
	if message == "Duration" {
		return `a duration such as "120s"`
	}
	return `a time such as "2026-01-31T08:00:00Z"`
}

func enumNames(enum protoreflect.EnumDescriptor) string {
	names := make([]string, enum.Values().Len())
	for i := range names {
		names[i] = string(enum.Values().Get(i).Name())
	}
	return strings.Join(names, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
