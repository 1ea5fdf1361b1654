package settings

import (
	"bytes"
	"errors"
	"io"
	"regexp"
	"strconv"
	"strings"

	"buf.build/go/protoyaml"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
)

// parse decodes data into message, then applies the rules. It returns all faults
// as a Faults, or nil if there are none.
func parse(path string, data []byte, message proto.Message, rules func() []rule) error {
	root, err := readNode(data)
	if err != nil {
		return Faults{syntaxFault(path, err)}
	}
	lines := &lineIndex{lineByField: make(map[string]int)}
	lines.add("", root)
	faults := lines.duplicateFaults(path)
	err = protoyaml.UnmarshalOptions{Path: path}.Unmarshal(data, message)
	faults = append(faults, decodeFaults(path, err)...)
	for _, r := range rules() {
		line, set := lines.lineByField[r.field]
		if set && addRuleToDecodeFault(faults, line, r) || r.check(set) {
			continue
		}
		faults = append(faults, Fault{File: path, Line: lines.nearest(r.field), Field: r.field,
			Problem: r.problem(set), Expected: r.expected})
	}
	if len(faults) == 0 {
		return nil
	}
	return faults.sorted()
}

// readNode returns the root node of the single YAML document in data, or nil if
// data has no document.
func readNode(data []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		return nil, err
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, errors.Join(errors.New("more than one document in the file"), err)
	}
	return document.Content[0], nil
}

// lineIndex maps each field path set in a file to its line.
type lineIndex struct {
	lineByField map[string]int
	repeated    []Fault
}

func (x *lineIndex) add(field string, node *yaml.Node) {
	if node == nil || node.Kind != yaml.MappingNode {
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		name := strings.TrimPrefix(field+"."+key.Value, ".")
		if first, ok := x.lineByField[name]; ok {
			x.repeated = append(x.repeated, Fault{Line: key.Line, Field: name,
				Problem: "set a second time, first in line " + strconv.Itoa(first), Expected: "one value"})
		}
		x.lineByField[name] = key.Line
		x.add(name, value)
	}
}

func (x *lineIndex) duplicateFaults(path string) Faults {
	var faults Faults
	for _, fault := range x.repeated {
		fault.File = path
		faults = append(faults, fault)
	}
	return faults
}

// nearest returns the line of a field. If the file does not set the field, it
// returns the line of the innermost enclosing message that is set, or 1.
func (x *lineIndex) nearest(field string) int {
	for field != "" {
		if line, ok := x.lineByField[field]; ok {
			return line
		}
		parentEnd := max(strings.LastIndexByte(field, '.'), 0)
		field = field[:parentEnd]
	}
	return 1
}

// addRuleToDecodeFault adds the rule's field and expected value to the decoder's
// fault on the given line. It reports whether there is such a fault; the rule
// then adds no second fault for the same value.
func addRuleToDecodeFault(faults Faults, line int, r rule) bool {
	for i := range faults {
		if faults[i].Line == line && faults[i].Field == "" && !strings.HasPrefix(faults[i].Problem, "unknown field") {
			faults[i].Field, faults[i].Expected = r.field, r.expected
			return true
		}
	}
	return false
}

// decodeErrorPattern matches a decoder error: file:line:column problem.
var decodeErrorPattern = regexp.MustCompile(`^(?s:.*?):(\d+):\d+ ([^\n]*)`)

// decodeFaults converts the decoder's error, which may join several, to faults.
func decodeFaults(path string, err error) Faults {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return Faults{decodeFault(path, err)}
	}
	var faults Faults
	for _, decodeErr := range joined.Unwrap() {
		faults = append(faults, decodeFault(path, decodeErr))
	}
	return faults
}

func decodeFault(path string, err error) Fault {
	text := strings.TrimPrefix(err.Error(), path)
	match := decodeErrorPattern.FindStringSubmatch(text)
	if match == nil {
		return syntaxFault(path, err)
	}
	line, _ := strconv.Atoi(match[1]) // the pattern matches only digits
	problem, expected, _ := strings.Cut(match[2], ", expected ")
	if rest, ok := strings.CutPrefix(problem, "expected "); ok && expected == "" {
		expected, problem, _ = strings.Cut(rest, ", got ")
		problem = "found " + problem
	}
	return Fault{File: path, Line: line, Problem: problem, Expected: expected}
}

// yamlLinePattern matches the line number in an error of the YAML library.
var yamlLinePattern = regexp.MustCompile(`line (\d+): `)

func syntaxFault(path string, err error) Fault {
	text := strings.ReplaceAll(strings.TrimPrefix(err.Error(), "yaml: "), "\n", "; ")
	fault := Fault{File: path, Problem: text, Expected: "one YAML document"}
	if match := yamlLinePattern.FindStringSubmatchIndex(text); match != nil {
		fault.Line, _ = strconv.Atoi(text[match[2]:match[3]])
		fault.Problem = text[:match[0]] + text[match[1]:]
	}
	return fault
}
