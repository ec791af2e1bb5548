package burn

import (
	"bytes"
	_ "embed" // The page's template.
	"html/template"
	"io"

	"github.com/cockroachdb/errors"

	"chestnutstack/internal/request/job"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("burn").Parse(pageText))

type page struct {
	Header  []string
	Rows    []pageRow
	Plots   []template.HTML
	Remarks []string
	Passed  bool
}

type pageRow struct {
	Cells  []string
	Passed bool
}

// WriteHTML writes the report as a page that needs no other file.
func (rep *Report) WriteHTML(wrt io.Writer) error {
	out := page{Header: rep.header(), Remarks: rep.remarks(), Passed: rep.Passed()}
	for idx := range rep.rows {
		row := &rep.rows[idx]
		out.Rows = append(out.Rows, pageRow{Cells: row.cells(), Passed: len(row.passed) > 0})
	}
	for _, partner := range rep.partners() {
		svg, err := rep.plotSVG(partner)
		if err != nil {
			return err
		}
		out.Plots = append(out.Plots, inline(svg))
	}
	return errors.Wrap(pageTemplate.Execute(wrt, out), "burn: page")
}

// inline drops what stands before the svg element: an XML declaration may not stand in a page.
// Every text in the drawing was escaped when it was drawn.
func inline(svg []byte) template.HTML {
	if idx := bytes.Index(svg, []byte("<svg")); idx > 0 {
		svg = svg[idx:]
	}
	return template.HTML(svg)
}

func (rep *Report) partners() []job.Partner {
	var out []job.Partner
	for idx := range rep.rows {
		partner := rep.rows[idx].objective.Partner
		if len(out) == 0 || out[len(out)-1] != partner {
			out = append(out, partner)
		}
	}
	return out
}
