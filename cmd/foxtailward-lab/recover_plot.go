package main

import (
	"fmt"
	"image/color"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"foxtailward.example/foxtailward/internal/standin/losses"
)

// Sizes in the plot.
const (
	plotWidth   = 8 * vg.Inch
	plotHeight  = 5 * vg.Inch
	pointRadius = 4
	labelOffset = 6
	// labelMargin extends the x axis by this factor, to leave room for the rightmost
	// label.
	labelMargin = 1.2
)

// plotSetting is one point in the plot. A share below 0 means the default, and so
// does a share of 0 in the configuration.
type plotSetting struct {
	name                   string
	prefer                 losses.Mode
	retryShare, hedgeShare float64
}

// plotSettings are the settings that --plot runs.
var plotSettings = []plotSetting{
	{"latency", losses.PreferLatency, -1, -1},
	{"latency, hedgeShare 0.001", losses.PreferLatency, -1, 0.001},
	{"latency, hedgeShare 0.2", losses.PreferLatency, -1, 0.2},
	{"latency, retryShare 0.05", losses.PreferLatency, 0.05, -1},
	{"cost", losses.PreferCost, -1, -1},
	{"cost, retryShare 0.05", losses.PreferCost, 0.05, -1},
	{"naive", losses.NaiveClient, -1, -1},
}

// runAll runs all settings one after another and plots their results.
func (f *recoverFlags) runAll(cmd *cobra.Command) error {
	var points plotter.XYs
	var names []string
	var firstErr error
	for _, s := range plotSettings {
		opts := f.opts
		opts.Mode = s.prefer
		opts.RetryShare, opts.HedgeShare = optionalShare(s.retryShare), optionalShare(s.hedgeShare)
		if _, err := fmt.Fprintln(cmd.ErrOrStderr(), s.name); err != nil {
			return err
		}
		report, err := f.measure(cmd, opts)
		if err != nil {
			return err
		}
		if err := checkExact(report); err != nil && firstErr == nil {
			firstErr = err
		}
		points = append(points, plotter.XY{X: report.ComputeExtra, Y: report.ResumeMsP95})
		names = append(names, s.name)
	}
	if err := drawPlot(f.plot, points, names); err != nil {
		return err
	}
	return firstErr
}

// drawPlot plots the points with their names and writes the PNG file.
func drawPlot(file string, points plotter.XYs, names []string) error {
	p := plot.New()
	p.Title.Text = "Recovery: waiting against work"
	p.X.Label.Text = "extra engine time / useful engine time"
	p.Y.Label.Text = "resume latency, 95th percentile, ms"
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.GlyphStyle = draw.GlyphStyle{Color: color.Black, Radius: pointRadius, Shape: draw.CircleGlyph{}}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
	if err != nil {
		return err
	}
	labels.Offset.X = labelOffset
	p.Add(plotter.NewGrid(), scatter, labels)
	p.X.Min, p.Y.Min = 0, 0
	p.X.Max *= labelMargin
	return p.Save(plotWidth, plotHeight, file)
}
