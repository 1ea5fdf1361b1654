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
	"age": age,
	"bar": func(percent float64) int { return int(math.Round(min(max(percent, 0), 100))) },
}).Parse(pageText))

// maxRows bounds the accounts and the processes on the page; the JSON has all.
const maxRows = 50

// pageData is what the page's template sees.
type pageData struct {
	*Report
	GapText   string
	Spread    string
	MostShare float64
	// MoreAccounts and MoreProcesses are not on the page.
	MoreAccounts  int
	MoreProcesses int
}

// SharePercent returns an account's recent service per weight in percent of the
// largest one's, for a bar.
func (d pageData) SharePercent(a Account) float64 {
	if d.MostShare == 0 {
		return 0
	}
	return 100 * a.Share() / d.MostShare
}

// WriteHTML writes the report as a page without scripts.
func (r *Report) WriteHTML(w io.Writer) error {
	data := pageData{Report: r, GapText: r.Gap.describe(), Spread: r.spread()}
	for _, a := range r.Accounts {
		data.MostShare = max(data.MostShare, a.Share())
	}
	data.Report, data.MoreAccounts, data.MoreProcesses = shortened(r)
	var b bytes.Buffer
	if err := page.Execute(&b, data); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}

// shortened returns a copy with at most maxRows accounts, least served first,
// and maxRows processes, those that need attention first; and how many are left
// out.
func shortened(r *Report) (short *Report, accounts, processes int) {
	c := *r
	accounts = max(len(c.Accounts)-maxRows, 0)
	c.Accounts = c.Accounts[:len(c.Accounts)-accounts]
	c.Processes = slices.Clone(c.Processes)
	sound := func(p ProcessRow) bool { return p.State == "live" && p.Number == c.ConfigurationNumber }
	slices.SortStableFunc(c.Processes, func(a, b ProcessRow) int {
		switch {
		case sound(a) == sound(b):
			return 0
		case sound(a):
			return 1
		}
		return -1
	})
	processes = max(len(c.Processes)-maxRows, 0)
	c.Processes = c.Processes[:len(c.Processes)-processes]
	return &c, accounts, processes
}
