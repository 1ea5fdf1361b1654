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

// parse reads data into message, then applies the rules. It returns all faults
// that it finds, or nil.
func parse(path string, data []byte, message proto.Message, rules func() []rule) error {
	root, err := readNode(data)
	if err != nil {
		return Faults{syntaxFault(path, err)}
	}
	lines := &lineIndex{lines: make(map[string]int)}
	lines.add("", root)
	faults := lines.duplicates(path)
	err = protoyaml.UnmarshalOptions{Path: path}.Unmarshal(data, message)
	faults = append(faults, decodeFaults(path, err)...)
	for _, r := range rules() {
		line, set := lines.lines[r.field]
		if set && explain(faults, line, r) || r.check(set) {
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

// readNode returns the first node of the only document in data, or nil if data
// holds no document.
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

// lineIndex knows the line of each field that a file sets.
type lineIndex struct {
	lines    map[string]int
	repeated []Fault
}

func (x *lineIndex) add(field string, node *yaml.Node) {
	if node == nil || node.Kind != yaml.MappingNode {
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		name := strings.TrimPrefix(field+"."+key.Value, ".")
		if first, ok := x.lines[name]; ok {
			x.repeated = append(x.repeated, Fault{Line: key.Line, Field: name,
				Problem: "set a second time, first in line " + strconv.Itoa(first), Expected: "one value"})
		}
		x.lines[name] = key.Line
		x.add(name, value)
	}
}

func (x *lineIndex) duplicates(path string) Faults {
	var faults Faults
	for _, fault := range x.repeated {
		fault.File = path
		faults = append(faults, fault)
	}
	return faults
}

// nearest returns the line of a field, or else of the innermost message around
// it that the file has, or else 1.
func (x *lineIndex) nearest(field string) int {
	for field != "" {
		if line, ok := x.lines[field]; ok {
			return line
		}
		cut := max(strings.LastIndexByte(field, '.'), 0)
		field = field[:cut]
	}
	return 1
}

// explain adds the rule's field and expected value to the decoder's fault in a
// line. It reports whether there is such a fault, so that the rule need not say
// the same again.
func explain(faults Faults, line int, r rule) bool {
	for i := range faults {
		if faults[i].Line == line && faults[i].Field == "" && !strings.HasPrefix(faults[i].Problem, "unknown field") {
			faults[i].Field, faults[i].Expected = r.field, r.expected
			return true
		}
	}
	return false
}

// position is how the decoder begins its errors: file:line:column problem.
var position = regexp.MustCompile(`^(?s:.*?):(\d+):\d+ ([^\n]*)`)

// decodeFaults takes the decoder's error apart.
func decodeFaults(path string, err error) Faults {
	if err == nil {
		return nil
	}
	var many interface{ Unwrap() []error }
	if !errors.As(err, &many) {
		return Faults{decodeFault(path, err)}
	}
	var faults Faults
	for _, one := range many.Unwrap() {
		faults = append(faults, decodeFault(path, one))
	}
	return faults
}

func decodeFault(path string, err error) Fault {
	text := strings.TrimPrefix(err.Error(), path)
	match := position.FindStringSubmatch(text)
	if match == nil {
		return syntaxFault(path, err)
	}
	line, _ := strconv.Atoi(match[1]) // digits by the expression
	problem, expected, _ := strings.Cut(match[2], ", expected ")
	if rest, ok := strings.CutPrefix(problem, "expected "); ok && expected == "" {
		expected, problem, _ = strings.Cut(rest, ", got ")
		problem = "found " + problem
	}
	return Fault{File: path, Line: line, Problem: problem, Expected: expected}
}

// yamlLine is how the YAML library names a line.
var yamlLine = regexp.MustCompile(`line (\d+): `)

func syntaxFault(path string, err error) Fault {
	text := strings.ReplaceAll(strings.TrimPrefix(err.Error(), "yaml: "), "\n", "; ")
	fault := Fault{File: path, Problem: text, Expected: "one YAML document"}
	if match := yamlLine.FindStringSubmatchIndex(text); match != nil {
		fault.Line, _ = strconv.Atoi(text[match[2]:match[3]])
		fault.Problem = text[:match[0]] + text[match[1]:]
	}
	return fault
}
