package burn

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"chestnutstack/internal/request/job"
)

const (
	plotWidth   = 9.4 * vg.Inch
	plotHeight  = 3.2 * vg.Inch
	legendWidth = 2.3 * vg.Inch
	margin      = 4
	legendFont  = 10
	// Longer names would be cut off at the edge of the drawing.
	longestName = 26
	// The axis is logarithmic, since a burn of 0.5 and one of 50 both matter; lower ones are drawn
	// at its foot.
	lowestBurn  = 0.1
	highestBurn = 100
	// A line that would join points further apart than this is broken.
	longestStep = 11 * time.Minute
)

// palette holds colours that are told apart with every common colour blindness.
var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0x00, G: 0x00, B: 0x00, A: 0xff},
}

var thresholdColor = color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff}

// fontFamily is what the drawing library writes, webFonts what a browser without that font needs
// to fall back on letters of the same width.
const (
	fontVariant = "Sans"
	fontFamily  = "font-family:Liberation Sans;"
	webFonts    = "font-family:Liberation Sans,Arial,Helvetica,sans-serif;"
)

// plotSVG draws the burn of one partner's classes over the last six hours.
func (rep *Report) plotSVG(partner job.Partner) ([]byte, error) {
	plt := newPlot(partner)
	legend := newLegend()
	if err := addThresholds(plt, &legend); err != nil {
		return nil, err
	}
	if err := rep.addClasses(plt, &legend, partner); err != nil {
		return nil, err
	}
	return render(plt, legend)
}

func newPlot(partner job.Partner) *plot.Plot {
	plt := plot.New()
	plt.Title.Text = fmt.Sprintf("%s: burn rate in steps of ten minutes", partner)
	plt.X.Label.Text = "hours before the report"
	plt.Y.Label.Text = "burn rate"
	plt.X.Min, plt.X.Max = -alarms[len(alarms)-1].Long.Hours(), 0
	plt.Y.Min, plt.Y.Max = lowestBurn, highestBurn
	plt.Y.Scale = plot.LogScale{}
	plt.X.Tick.Marker = hourTicks(plt.X.Min)
	plt.Y.Tick.Marker = burnTicks()
	for _, sty := range []*text.Style{
		&plt.Title.TextStyle, &plt.X.Label.TextStyle, &plt.Y.Label.TextStyle,
		&plt.X.Tick.Label, &plt.Y.Tick.Label,
	} {
		sty.Font.Variant = fontVariant
	}
	plt.Title.Padding = vg.Points(6)
	plt.Add(plotter.NewGrid())
	return plt
}

func newLegend() plot.Legend {
	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	legend.XOffs = plotWidth - legendWidth + vg.Points(8)
	legend.YOffs = -vg.Points(26)
	legend.Padding = vg.Points(3)
	legend.TextStyle.Font.Variant = fontVariant
	legend.TextStyle.Font.Size = vg.Points(legendFont)
	return legend
}

func hourTicks(first float64) plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for hour := first; hour < 0; hour++ {
		ticks = append(ticks, plot.Tick{Value: hour, Label: fmt.Sprintf("%.0f", -hour)})
	}
	return append(ticks, plot.Tick{Value: 0, Label: "now"})
}

func render(plt *plot.Plot, legend plot.Legend) ([]byte, error) {
	cnv := vgsvg.NewWith(vgsvg.UseWH(plotWidth, plotHeight))
	all := draw.New(cnv)
	plt.Draw(draw.Crop(all, 0, -legendWidth, 0, -vg.Points(margin)))
	legend.Draw(all)
	var buf bytes.Buffer
	if _, err := cnv.WriteTo(&buf); err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	return withFallback(buf.Bytes()), nil
}

func withFallback(svg []byte) []byte {
	return bytes.ReplaceAll(svg, []byte(fontFamily), []byte(webFonts))
}

func burnTicks() plot.ConstantTicks {
	ticks := plot.ConstantTicks{{Value: lowestBurn, Label: "≤ 0.1"}, {Value: 1, Label: "1"}}
	for _, alm := range alarms {
		ticks = append(ticks, plot.Tick{Value: alm.Threshold, Label: fmt.Sprintf("%.4g", alm.Threshold)})
	}
	return append(ticks, plot.Tick{Value: highestBurn, Label: "≥ 100"})
}

func addThresholds(plt *plot.Plot, legend *plot.Legend) error {
	for _, alm := range alarms {
		lin, err := plotter.NewLine(plotter.XYs{
			{X: plt.X.Min, Y: alm.Threshold}, {X: plt.X.Max, Y: alm.Threshold},
		})
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		lin.Color = thresholdColor
		lin.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
		if alm.Name != alarms[0].Name {
			lin.Dashes = []vg.Length{vg.Points(1.5), vg.Points(2.5)}
		}
		plt.Add(lin)
		legend.Add("alarm "+alm.Name, lin)
	}
	return nil
}

func (rep *Report) addClasses(plt *plot.Plot, legend *plot.Legend, partner job.Partner) error {
	num := 0
	for idx := range rep.rows {
		row := &rep.rows[idx]
		if row.objective.Partner != partner || !row.objective.valid() {
			continue
		}
		clr := palette[num%len(palette)]
		num++
		if err := rep.addClass(plt, legend, row, clr); err != nil {
			return err
		}
	}
	return nil
}

func (rep *Report) addClass(
	plt *plot.Plot, legend *plot.Legend, row *Row, clr color.Color,
) error {
	var last *plotter.Line
	for _, seg := range rep.segments(row) {
		lin, pts, err := plotter.NewLinePoints(seg)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		lin.Color = clr
		lin.Width = vg.Points(1.5)
		pts.Color = clr
		pts.Shape = draw.CircleGlyph{}
		pts.Radius = vg.Points(1.8)
		plt.Add(lin, pts)
		last = lin
	}
	if last == nil {
		legend.Add(legendName(row.objective.Class) + " (no jobs)")
		return nil
	}
	legend.Add(legendName(row.objective.Class), last)
	return nil
}

func legendName(class string) string {
	runes := []rune(class)
	if len(runes) <= longestName {
		return class
	}
	return string(runes[:longestName-1]) + "…"
}

// segments returns the points of a class, apart where there were no jobs in between. A point
// stands in the middle of its ten minutes, so that the newest is not drawn past the report.
func (rep *Report) segments(row *Row) []plotter.XYs {
	var out []plotter.XYs
	var last time.Time
	oldest := -alarms[len(alarms)-1].Long
	for _, pnt := range row.points {
		when := pnt.start.Add(pnt.width / 2).Sub(rep.taken)
		if when < oldest {
			continue
		}
		if len(out) == 0 || pnt.start.Sub(last) > longestStep {
			out = append(out, nil)
		}
		last = pnt.start
		seg := &out[len(out)-1]
		*seg = append(*seg, plotter.XY{
			X: min(when, 0).Hours(),
			Y: math.Min(math.Max(pnt.burn, lowestBurn), highestBurn),
		})
	}
	return out
}
