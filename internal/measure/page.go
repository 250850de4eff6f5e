package measure

import (
	"fmt"
	"io"
)

// String formats the median with the lowest and the highest value in parentheses, and the number of missing values.
func (s Summary) String() string {
	if s.Median == 0 && s.Min == 0 && s.Max == 0 && s.Missing > 0 {
		return fmt.Sprintf("never in %d", s.Missing)
	}
	text := fmt.Sprintf("%s (%s to %s)", formatFigure(s.Median), formatFigure(s.Min), formatFigure(s.Max))
	if s.Missing > 0 {
		text += fmt.Sprintf(", never in %d", s.Missing)
	}
	return text
}

// formatFigure formats x as a whole number if it is one or is at least 100, otherwise with four significant digits.
func formatFigure(x float64) string {
	if x >= 100 || x == float64(int64(x)) {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.4g", x)
}

// printer writes lines to w until a write fails. err is the error of that write.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// WritePolicies writes the comparison of policies, a table for each deployment and fault.
func WritePolicies(w io.Writer, rows []PolicyRow) error {
	p := &printer{w: w}
	for i, row := range rows {
		if i == 0 || row.Deployment != rows[i-1].Deployment {
			p.line("\n## Policies: %s\n", row.Deployment)
		}
		if i == 0 || row.Fault != rows[i-1].Fault {
			p.line("\n### %s\n", row.Fault)
			p.line("| policy | detection ms | work on the sick one | trials | false: server seconds | false: ejections | return ms | goodput %% | refused %% | opinions |")
			p.line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		}
		p.line("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |", row.Policy, row.DetectionMS, row.UnhealthyWork, row.UnhealthyTrials,
			row.FalseOutSeconds, row.FalseEjections, row.ReturnMS, row.GoodputPercent, row.RefusedPercent, row.Opinions)
		if row.FloorBroken > 0 {
			p.line("\nThe floor was broken %d times with %s.\n", row.FloorBroken, row.Policy)
		}
	}
	return p.err
}

// WritePlacement writes the comparison of placements as a table.
func WritePlacement(w io.Writer, rows []PlacementRow) error {
	p := &printer{w: w}
	p.line("| load | choice | entries | sheds for each request | wait p50 ms | wait p99 ms |")
	p.line("| --- | --- | --- | --- | --- | --- |")
	for _, row := range rows {
		p.line("| %.0f %% | %s | %d | %s | %s | %s |", 100*row.Load, row.Choice, row.Entries, row.ShedsPerRequest, row.WaitP50MS, row.WaitP99MS)
	}
	return p.err
}

// WriteFleet writes the results of the faults on real processes as a table.
func WriteFleet(w io.Writer, rows []FleetRow) error {
	p := &printer{w: w}
	p.line("| service | fault | requests on it in the 0.5 s before | detection ms | requests on the sick one | later ones | goodput %% | unknown or 5xx | refused | added p50 ms | added p99 ms | not accounted for |")
	p.line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, row := range rows {
		p.line("| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %d |", row.Service, row.Fault, row.RequestsBefore, row.DetectionMS, row.RequestsUntilDetection,
			row.RequestsAfterDetection, row.GoodputPercent, row.UnknownOr5xx, row.Refused, row.AddedP50MS, row.AddedP99MS, row.NotAccounted)
	}
	return p.err
}

// WriteCurve writes the points of the curve as a table.
func WriteCurve(w io.Writer, points []CurvePoint) error {
	p := &printer{w: w}
	p.line("| policy | sensitivity | detection ms, all work fails | detection ms, a third fails | false: server seconds in 10 minutes with 2 %% errors everywhere |")
	p.line("| --- | --- | --- | --- | --- |")
	for _, point := range points {
		p.line("| %s | %.1f | %s | %s | %s |", point.Policy, point.Sensitivity, point.DetectionMS, point.PartialDetectionMS, point.FalseOutSeconds)
	}
	return p.err
}

// WriteNoFault writes the runs without a fault as a table.
func WriteNoFault(w io.Writer, rows []NoFaultRow) error {
	p := &printer{w: w}
	p.line("| load | policy | false: ejections | false: server seconds | refused %% | opinions |")
	p.line("| --- | --- | --- | --- | --- | --- |")
	for _, row := range rows {
		p.line("| %s | %s | %s | %s | %s | %s |", row.Load, row.Policy, row.FalseEjections, row.FalseOutSeconds, row.RefusedPercent, row.Opinions)
	}
	return p.err
}
