package load

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot writes a chart of the requests and good responses per second to file.
// The extension, .svg or .png, selects the format. It returns an error if the
// chart can't be drawn or written.
func (r *Result) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Requests and good answers"
	p.X.Label.Text = "time of arrival (s)"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	sent, good := make(plotter.XYs, len(r.perSecond)), make(plotter.XYs, len(r.perSecond))
	for i, c := range r.perSecond {
		sent[i] = plotter.XY{X: float64(i), Y: float64(c.sent)}
		good[i] = plotter.XY{X: float64(i), Y: float64(c.good)}
	}
	if err := plotutil.AddLines(p, "sent", sent, "good", good); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	const width, height = 8 * vg.Inch, 4 * vg.Inch
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
