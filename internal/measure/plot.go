package measure

import (
	"io"
	"math"

	"github.com/primroseladder/primroseladder/internal/health/trial"
)

const (
	plotWidth, plotHeight, plotMargin = 720, 400, 60
	// minDetectionMS and maxDetectionMS are the ends of the logarithmic axis of detection times.
	minDetectionMS, maxDetectionMS = 10.0, 100_000.0
)

var policyColours = map[trial.Policy]string{
	trial.PolicyNone: "#888888", trial.PolicyConsecutive: "#cc7700", trial.PolicySuccessRate: "#aa3377",
	trial.PolicyQuick: "#cc0000", trial.PolicyCareful: "#0055cc",
}

// WritePlot draws the curve as SVG, with one point for each policy and sensitivity: detection time against the seconds for
// which healthy backend servers were ejected. A point without detection is at the right edge.
func WritePlot(w io.Writer, points []CurvePoint) error {
	p := &printer{w: w}
	p.line(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`, plotWidth, plotHeight)
	p.line(`<rect width="%d" height="%d" fill="white"/>`, plotWidth, plotHeight)
	maxFalseOut := 1.0
	for _, point := range points {
		maxFalseOut = max(maxFalseOut, point.FalseOutSeconds.Median)
	}
	p.axes(maxFalseOut)
	for i, policy := range trial.Policies() {
		colour := policyColours[policy]
		p.line(`<text x="%d" y="%d" fill="%s">%s</text>`, plotWidth-130, 40+14*i, colour, policy)
		for _, point := range points {
			if point.Policy == policy {
				p.point(point, colour, maxFalseOut)
			}
		}
	}
	p.line(`</svg>`)
	return p.err
}

func (p *printer) axes(maxFalseOut float64) {
	bottom := plotHeight - plotMargin
	p.line(`<path d="M%d %d V%d H%d" stroke="black" fill="none"/>`, plotMargin, plotMargin/2, bottom, plotWidth-plotMargin/2)
	for ms := minDetectionMS; ms <= maxDetectionMS; ms *= 10 {
		p.line(`<text x="%.0f" y="%d" text-anchor="middle">%.0f ms</text>`, plotX(ms), bottom+16, ms)
	}
	p.line(`<text x="%d" y="%d">detection time where all work fails, median, logarithmic; right edge: never</text>`, plotMargin, bottom+34)
	p.line(`<text x="4" y="20">healthy server seconds out in ten minutes with 2 %% errors everywhere, up to %.0f</text>`, maxFalseOut)
}

func plotX(ms float64) float64 {
	share := math.Log(min(maxDetectionMS, max(minDetectionMS, ms))/minDetectionMS) / math.Log(maxDetectionMS/minDetectionMS)
	return plotMargin + share*(plotWidth-2*plotMargin)
}

func (p *printer) point(point CurvePoint, colour string, maxFalseOut float64) {
	detection := point.DetectionMS.Median
	if detection <= 0 {
		detection = maxDetectionMS
	}
	y := float64(plotHeight-plotMargin) - point.FalseOutSeconds.Median/maxFalseOut*(plotHeight-2*plotMargin)
	p.line(`<circle cx="%.1f" cy="%.1f" r="4" fill="%s"><title>%s, sensitivity %.1f</title></circle>`,
		plotX(detection), y, colour, point.Policy, point.Sensitivity)
}
