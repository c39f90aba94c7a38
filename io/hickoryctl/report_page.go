package hickoryctl

import (
	"html/template"
	"os"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"hickoryworks/schema/hickoryaudit"
)

// writePage writes the report as an HTML page whose style suits printing.
func writePage(path string, report *hickoryaudit.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create report page")
	}
	if err := pageTemplate.Execute(file, report); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write report page")
	}
	return errors.Wrap(file.Close(), "close report page")
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"share":     shareText,
	"imbalance": imbalanceText,
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Hickoryworks report</title>
<style>
body { font: 11pt serif; margin: 2cm }
table { border-collapse: collapse; width: 100% }
td, th { border: 1px solid #888; padding: 3pt; text-align: left }
tr { page-break-inside: avoid }
</style></head><body>
<h1>Hickoryworks report</h1>
<p>Collected {{.CollectedAt.Format "2006-01-02 15:04:05 MST"}}, definitions version {{.DefinitionVersion}}.
Counts of {{.Coverage.Answered}} of {{.Coverage.Listed}} instances over {{.Coverage.ObservedMillis}} ms of counting in all.</p>
{{if .Coverage.Missing}}<p><strong>Missing: the counts of {{range .Coverage.Missing}}{{.}} {{end}}are in no figure.</strong></p>{{end}}
<table><tr><th>team</th><th>service</th><th>broken flows of flows opened</th><th>refused of first packets</th><th>imbalance</th><th>coverage</th></tr>
{{range .Services}}<tr><td>{{.Team}}</td><td>{{.Service}}</td><td>{{share .Broken}}</td><td>{{share .Refused}}</td><td>{{imbalance .Imbalance}}</td><td>{{.Coverage.Answered}} of {{.Coverage.Listed}}</td></tr>
{{range .Zones}}<tr><td></td><td>60 s after zone {{.Zone}} {{.Change}}</td><td>{{share .Lost}}</td><td>{{share .Refused}}</td><td></td><td>{{.Agents}} agents</td></tr>
{{end}}{{end}}</table>
<p><img src="` + imbalancePlot + `" alt="imbalance of each service"></p>
</body></html>
`))

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	barWidth   = 0.6 * vg.Centimeter
)

// writePlot draws the imbalance of each service as a bar chart and writes it as an
// image.
func writePlot(path string, report *hickoryaudit.Report) error {
	drawing := plot.New()
	drawing.Title.Text = "Imbalance (largest over mean of open flows)"
	drawing.Y.Min = 0
	var ratios plotter.Values
	var names []string
	for i := range report.Services {
		ratios = append(ratios, report.Services[i].Imbalance.Ratio)
		names = append(names, string(report.Services[i].Service))
	}
	if len(ratios) > 0 {
		bars, err := plotter.NewBarChart(ratios, barWidth)
		if err != nil {
			return errors.Wrap(err, "draw imbalance")
		}
		drawing.Add(bars)
		drawing.NominalX(names...)
	}
	return errors.Wrap(drawing.Save(plotWidth, plotHeight, path), "write imbalance plot")
}
