package errkind

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The table of kinds on the operators' page matches the table in the code.
func TestOperatorsPageListsEveryKind(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators-requests.md")
	is.NoErr(err)
	_, table, _ := strings.Cut(string(page), "## Error kinds")
	table, _, _ = strings.Cut(table, "\n## ")
	rows := 0
	for _, line := range strings.Split(table, "\n") {
		if strings.HasPrefix(line, "| `") {
			rows++
		}
	}
	is.Equal(rows, len(All())) // no extra rows
	for _, k := range All() {
		a := k.Answer()
		row := fmt.Sprintf("| `%s` | %d | %s | %s |", k, a.Status, yesOrNo(a.NotRun), yesOrNo(a.Retryable))
		if !strings.Contains(table, row) {
			t.Errorf("docs/operators-requests.md lacks the row %q", row)
		}
	}
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
