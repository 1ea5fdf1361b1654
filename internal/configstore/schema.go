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

// checkSchema checks a merge patch against the schema and returns every unknown
// field and every value of a wrong type. It removes the configuration number from
// the patch. protojson alone is not enough: its parser stops at the first fault,
// and would miss a null for an unknown field.
func checkSchema(patch map[string]any) []Fault {
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
			found.add(joinPath(path, name), "unknown field")
			continue
		}
		if value != nil {
			checkField(found, joinPath(path, name), value, field)
		}
	}
}

func checkField(found *faults, path string, value any, field protoreflect.FieldDescriptor) {
	switch {
	case field.IsMap():
		checkMap(found, path, value, field.MapValue())
	case field.IsList() && isObjectField(field):
		checkList(found, path, value, field.Message())
	case isObjectField(field):
		checkObject(found, path, value, field.Message())
	case !isAccepted(value, field):
		found.add(path, "must be %s", expectedValue(field))
	}
}

func checkMap(found *faults, path string, value any, valueField protoreflect.FieldDescriptor) {
	entries, ok := value.(map[string]any)
	if !ok {
		found.add(path, "must be an object")
		return
	}
	for name, entry := range entries {
		if entry != nil {
			checkObject(found, joinPath(path, name), entry, valueField.Message())
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

// isObjectField reports whether a field holds a message that is encoded as a JSON
// object; durations and timestamps are encoded as strings.
func isObjectField(field protoreflect.FieldDescriptor) bool {
	return field.Message() != nil && field.Message().ParentFile().Package() != "google.protobuf"
}

// isAccepted reports whether protojson accepts a value for a field.
func isAccepted(value any, field protoreflect.FieldDescriptor) bool {
	data, err := json.Marshal(map[string]any{string(field.Name()): value})
	if err != nil {
		return false
	}
	messageType, err := protoregistry.GlobalTypes.FindMessageByName(field.ContainingMessage().FullName())
	if err != nil {
		return false
	}
	return protojson.Unmarshal(data, messageType.New().Interface()) == nil
}

// expectedValue describes the values that a field accepts.
func expectedValue(field protoreflect.FieldDescriptor) string {
	item := expectedItem(field)
	if field.IsList() {
		return "a list; each item " + item
	}
	return item
}

func expectedItem(field protoreflect.FieldDescriptor) string {
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
		return expectedTimeFormat(field.Message().Name())
	default:
		return "of type " + field.Kind().String()
	}
}

func expectedTimeFormat(message protoreflect.Name) string {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
