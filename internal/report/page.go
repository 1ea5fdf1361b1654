package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"math"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"age": age,
	"bar": func(percent float64) int { return int(math.Round(min(max(percent, 0), 100))) },
}).Parse(pageText))

// pageData is what the page's template sees.
type pageData struct {
	*Report
	GapText   string
	Spread    string
	MostShare float64
}

// SharePercent returns an account's recent service per weight in percent of the
// largest one's, for a bar.
func (d pageData) SharePercent(a Account) float64 {
	if d.MostShare == 0 {
		return 0
	}
	return 100 * a.share() / d.MostShare
}

// WriteHTML writes the report as a page without scripts.
func (r *Report) WriteHTML(w io.Writer) error {
	data := pageData{Report: r, GapText: r.Gap.describe(), Spread: r.spread()}
	for _, a := range r.Accounts {
		data.MostShare = max(data.MostShare, a.share())
	}
	var b bytes.Buffer
	if err := page.Execute(&b, data); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}
