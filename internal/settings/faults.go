package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	// File is the path of the file.
	File string
	// Line is the line number, starting at 1, or 0 if the line is not known or the
	// fault concerns the whole file.
	Line int
	// Field is the path of the field, such as process.name. It is empty if the
	// fault could not be attributed to a field.
	Field string
	// Problem describes the error.
	Problem string
	// Expected describes a valid value. It is empty if Problem already does.
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

// Faults is the error for a settings file that is not valid. It has all faults,
// sorted by line.
type Faults []Fault

// Error returns the faults, one per line.
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
