package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	// File is the path of the file.
	File string
	// Line is the line of the fault from 1, or 0 if it concerns the whole file.
	Line int
	// Field is the path of the field, such as process.name; empty where the
	// text could not be read as far as a field.
	Field string
	// Problem tells what is wrong.
	Problem string
	// Expected tells which value belongs there; empty if Problem says it.
	Expected string
}

// String returns the fault in the form file:line: field: problem, expected X.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Problem)
	if f.Expected != "" {
		b.WriteString(", expected " + f.Expected)
	}
	return b.String()
}

// Faults is the error of a settings file: all its faults in order of lines.
type Faults []Fault

// Error returns one line a fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f
}
