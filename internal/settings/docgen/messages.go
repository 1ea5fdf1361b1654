package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"regexp"
	"strings"
)

// message is a protobuf message of the schema.
type message struct {
	comment string
	fields  []field
}

// field is one field of a message.
type field struct{ name, typeName, comment string }

// readMessages returns the messages in a generated Go file, keyed by name.
func readMessages(path string) (map[string]message, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return nil, fmt.Errorf("read schema: %w", err)
	}
	messages := make(map[string]message)
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok || group.Tok != token.TYPE {
			continue
		}
		for _, spec := range group.Specs {
			t := spec.(*ast.TypeSpec) // a type declaration has only TypeSpecs
			if body, ok := t.Type.(*ast.StructType); ok {
				messages[t.Name.Name] = message{oneLine(group.Doc.Text()), readFields(body)}
			}
		}
	}
	return messages, nil
}

// protoNamePattern matches the protobuf field name in a struct tag.
var protoNamePattern = regexp.MustCompile(`protobuf:"[^"]*name=([a-z0-9_]+)`)

func readFields(body *ast.StructType) []field {
	var fields []field
	for _, f := range body.Fields.List {
		if f.Tag == nil {
			continue
		}
		match := protoNamePattern.FindStringSubmatch(f.Tag.Value)
		if match == nil {
			continue
		}
		fields = append(fields, field{match[1], typeNameOf(types.ExprString(f.Type)), oneLine(f.Doc.Text())})
	}
	return fields
}

// typeNames maps Go types to the type names shown on the pages.
var typeNames = map[string]string{
	"string": "text", "bool": "true or false", "float64": "number", "uint32": "number", "uint64": "number",
	"int64": "number", "*durationpb.Duration": "duration", "*timestamppb.Timestamp": "time (RFC 3339)",
}

func typeNameOf(goType string) string {
	if name, ok := typeNames[goType]; ok {
		return name
	}
	if element, ok := strings.CutPrefix(goType, "[]"); ok {
		return "list of " + typeNameOf(element)
	}
	if element, ok := strings.CutPrefix(goType, "map[string]"); ok {
		return "map of name to " + typeNameOf(element)
	}
	goType = strings.TrimPrefix(goType, "*")
	if _, enum, ok := strings.Cut(goType, "_"); ok {
		return "enum " + enum
	}
	return fmt.Sprintf("[%s](#%s)", goType, strings.ToLower(goType))
}

func oneLine(comment string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(comment), " "), "|", `\|`)
}
