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

// message is one message of the schema.
type message struct {
	comment string
	fields  []field
}

// field is one field of a message.
type field struct{ name, kind, comment string }

// readMessages returns the messages of a generated Go file by name.
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
			t := spec.(*ast.TypeSpec) // a TYPE group holds nothing else
			if body, ok := t.Type.(*ast.StructType); ok {
				messages[t.Name.Name] = message{oneLine(group.Doc.Text()), readFields(body)}
			}
		}
	}
	return messages, nil
}

// protoName finds a field's name of the schema in its struct tag.
var protoName = regexp.MustCompile(`protobuf:"[^"]*name=([a-z0-9_]+)`)

func readFields(body *ast.StructType) []field {
	var fields []field
	for _, f := range body.Fields.List {
		if f.Tag == nil {
			continue
		}
		match := protoName.FindStringSubmatch(f.Tag.Value)
		if match == nil {
			continue
		}
		fields = append(fields, field{match[1], kindOf(types.ExprString(f.Type)), oneLine(f.Doc.Text())})
	}
	return fields
}

// kinds names Go types in the words of a settings file.
var kinds = map[string]string{
	"string": "text", "bool": "true or false", "float64": "number", "uint32": "number", "uint64": "number",
	"int64": "number", "*durationpb.Duration": "duration", "*timestamppb.Timestamp": "time (RFC 3339)",
}

func kindOf(goType string) string {
	if kind, ok := kinds[goType]; ok {
		return kind
	}
	if element, ok := strings.CutPrefix(goType, "[]"); ok {
		return "list of " + kindOf(element)
	}
	if element, ok := strings.CutPrefix(goType, "map[string]"); ok {
		return "map of name to " + kindOf(element)
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
