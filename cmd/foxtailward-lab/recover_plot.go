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

// Size and marks of the picture.
const (
	plotWidth   = 8 * vg.Inch
	plotHeight  = 5 * vg.Inch
	markRadius  = 4
	labelOffset = 6
	// labelRoom widens the picture for the rightmost label.
	labelRoom = 1.2
)

// setting is one point of the frontier. Shares below 0 are the defaults, as is
// a share of 0 in the configuration.
type setting struct {
	name                   string
	prefer                 losses.Mode
	retryShare, hedgeShare float64
}

// frontier is what is drawn by --plot.
var frontier = []setting{
	{"latency", losses.PreferLatency, -1, -1},
	{"latency, hedgeShare 0.001", losses.PreferLatency, -1, 0.001},
	{"latency, hedgeShare 0.2", losses.PreferLatency, -1, 0.2},
	{"latency, retryShare 0.05", losses.PreferLatency, 0.05, -1},
	{"cost", losses.PreferCost, -1, -1},
	{"cost, retryShare 0.05", losses.PreferCost, 0.05, -1},
	{"naive", losses.NaiveClient, -1, -1},
}

// runAll runs all settings one after another and draws them.
func (f *recoverFlags) runAll(cmd *cobra.Command) error {
	var points plotter.XYs
	var names []string
	var failed error
	for _, s := range frontier {
		opts := f.opts
		opts.Mode = s.prefer
		opts.RetryShare, opts.HedgeShare = share(s.retryShare), share(s.hedgeShare)
		if _, err := fmt.Fprintln(cmd.ErrOrStderr(), s.name); err != nil {
			return err
		}
		report, err := f.measure(cmd, opts)
		if err != nil {
			return err
		}
		if err := inexact(report); err != nil && failed == nil {
			failed = err
		}
		points = append(points, plotter.XY{X: report.ComputeExtra, Y: report.ResumeMsP95})
		names = append(names, s.name)
	}
	if err := drawFrontier(f.plot, points, names); err != nil {
		return err
	}
	return failed
}

// drawFrontier draws the points.
func drawFrontier(file string, points plotter.XYs, names []string) error {
	p := plot.New()
	p.Title.Text = "Recovery: waiting against work"
	p.X.Label.Text = "extra engine time / useful engine time"
	p.Y.Label.Text = "resume latency, 95th percentile, ms"
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	marks.GlyphStyle = draw.GlyphStyle{Color: color.Black, Radius: markRadius, Shape: draw.CircleGlyph{}}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
	if err != nil {
		return err
	}
	labels.Offset.X = labelOffset
	p.Add(plotter.NewGrid(), marks, labels)
	p.X.Min, p.Y.Min = 0, 0
	p.X.Max *= labelRoom
	return p.Save(plotWidth, plotHeight, file)
}
