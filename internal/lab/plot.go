package lab

import (
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot's panels.
const (
	panelWidth  = 20 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
)

// WritePlot draws results into an SVG file: the worth earned in each window, and the
// times to the first event.
func WritePlot(path string, results []*Result) (err error) {
	windows, first := plot.New(), plot.New()
	windows.Title.Text, windows.X.Label.Text, windows.Y.Label.Text = "Worth earned", "second", "part of the worth owed"
	first.Title.Text, first.X.Label.Text, first.Y.Label.Text = "First event", "ms", "part of the answers"
	windows.Y.Min, windows.Y.Max, first.X.Max = 0, 1, mostFirstMS
	for i, r := range results {
		if err := addLine(windows, r.Strategy, i, windowPoints(r)); err != nil {
			return err
		}
		if err := addLine(first, r.Strategy, i, firstPoints(r)); err != nil {
			return err
		}
	}
	canvas := vgsvg.New(panelWidth, 2*panelHeight)
	panels := plot.Align([][]*plot.Plot{{windows}, {first}}, draw.Tiles{Rows: 2, Cols: 1}, draw.New(canvas))
	windows.Draw(panels[0][0])
	first.Draw(panels[1][0])
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("plot: %w", closeErr)
		}
	}()
	if _, err := canvas.WriteTo(file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// mostFirstMS is where the plot of first events ends; objectives are below it.
const mostFirstMS = 4000

func windowPoints(r *Result) plotter.XYs {
	var points plotter.XYs
	for i, t := range r.Windows {
		points = append(points, plotter.XY{X: float64(i) * windowLength.Seconds(), Y: t.Share()})
	}
	return points
}

func firstPoints(r *Result) plotter.XYs {
	points := plotter.XYs{{}}
	for i, at := range r.All.First {
		if at.Milliseconds() > mostFirstMS {
			break
		}
		points = append(points, plotter.XY{X: float64(at.Milliseconds()), Y: float64(i+1) / float64(len(r.All.First))})
	}
	return points
}

func addLine(p *plot.Plot, name string, i int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	line.Color = plotutil.Color(i)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
