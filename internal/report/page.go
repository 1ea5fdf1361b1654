package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"math"
	"slices"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"age": formatAge,
	"bar": func(percent float64) int { return int(math.Round(min(max(percent, 0), 100))) },
}).Parse(pageText))

// maxRows limits the accounts and the processes on the page; the JSON has all.
const maxRows = 50

// pageData is the input of the page's template.
type pageData struct {
	*Report
	GapText  string
	Rollout  string
	MaxShare float64
	// MoreAccounts and MoreProcesses count the rows left out of the page.
	MoreAccounts  int
	MoreProcesses int
}

// SharePercent returns an account's share in percent of the largest share: the
// width of its bar.
func (d pageData) SharePercent(a Account) float64 {
	if d.MaxShare == 0 {
		return 0
	}
	return 100 * a.Share() / d.MaxShare
}

// WriteHTML writes the report as a page without scripts.
func (r *Report) WriteHTML(w io.Writer) error {
	data := pageData{Report: r, GapText: r.Gap.describe(), Rollout: r.describeRollout()}
	for _, a := range r.Accounts {
		data.MaxShare = max(data.MaxShare, a.Share())
	}
	data.Report, data.MoreAccounts, data.MoreProcesses = truncate(r)
	var b bytes.Buffer
	if err := page.Execute(&b, data); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}

// truncate returns a copy with at most maxRows accounts, in the order of the
// report, and at most maxRows processes, unhealthy ones first, and the number of
// each that are left out.
func truncate(r *Report) (short *Report, accounts, processes int) {
	c := *r
	accounts = max(len(c.Accounts)-maxRows, 0)
	c.Accounts = c.Accounts[:len(c.Accounts)-accounts]
	c.Processes = slices.Clone(c.Processes)
	healthy := func(p ProcessRow) bool { return p.State == "live" && p.Number == c.ConfigurationNumber }
	slices.SortStableFunc(c.Processes, func(a, b ProcessRow) int {
		switch {
		case healthy(a) == healthy(b):
			return 0
		case healthy(a):
			return 1
		}
		return -1
	})
	processes = max(len(c.Processes)-maxRows, 0)
	c.Processes = c.Processes[:len(c.Processes)-processes]
	return &c, accounts, processes
}
