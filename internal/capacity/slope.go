package capacity

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Unit is the unit of a benchmark's metric.
type Unit string

// The units that the benchmarks report.
const (
	UnitNanoseconds Unit = "ns/op"
	UnitHeapBytes   Unit = "heap-B"
	UnitWireBytes   Unit = "wire-B"
	UnitCalls       Unit = "calls"
	UnitBackends    Unit = "backends"
	UnitServices    Unit = "services"
	UnitOpinionRate Unit = "opinions/s"
)

// Point is the value of a metric at size N.
type Point struct {
	N     float64
	Value float64
}

// Series is one metric of one benchmark at several sizes.
type Series struct {
	Benchmark string
	Unit      Unit
	Points    []Point
}

// Measurements are the results of one run of the benchmarks.
type Measurements struct {
	// Machine is the processor name that the run reports.
	Machine string
	series  []*Series
}

var benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)/n=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// Parse reads the output of "go test -bench". It ignores benchmarks whose name has no size.
func Parse(r io.Reader) (*Measurements, error) {
	m := &Measurements{}
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := scanner.Text()
		if machine, found := strings.CutPrefix(line, "cpu: "); found {
			m.Machine = machine
		}
		fields := benchmarkLine.FindStringSubmatch(line)
		if fields == nil {
			continue
		}
		if err := m.add(fields[1], fields[2], strings.Fields(fields[3])); err != nil {
			return nil, fmt.Errorf("parse benchmark line %q: %w", line, err)
		}
	}
	return m, scanner.Err()
}

func (m *Measurements) add(benchmark, size string, metrics []string) error {
	n, err := strconv.ParseFloat(size, 64)
	if err != nil {
		return err
	}
	for i := 0; i+1 < len(metrics); i += 2 {
		value, err := strconv.ParseFloat(metrics[i], 64)
		if err != nil {
			return err
		}
		s := m.find(benchmark, Unit(metrics[i+1]))
		if s == nil {
			s = &Series{Benchmark: benchmark, Unit: Unit(metrics[i+1])}
			m.series = append(m.series, s)
		}
		s.Points = append(s.Points, Point{N: n, Value: value})
	}
	return nil
}

func (m *Measurements) find(benchmark string, unit Unit) *Series {
	i := slices.IndexFunc(m.series, func(s *Series) bool { return s.Benchmark == benchmark && s.Unit == unit })
	if i < 0 {
		return nil
	}
	return m.series[i]
}

// Series returns all series in the order of the run.
func (m *Measurements) Series() []*Series { return m.series }

// Get returns a series. It returns an error if the run does not have it at two sizes or more.
func (m *Measurements) Get(benchmark string, unit Unit) (*Series, error) {
	s := m.find(benchmark, unit)
	if s == nil {
		return nil, fmt.Errorf("the run has no benchmark %s with %s", benchmark, unit)
	}
	if len(s.Points) < 2 {
		return nil, fmt.Errorf("benchmark %s with %s needs two sizes, it has %d", benchmark, unit, len(s.Points))
	}
	return s, nil
}

// Line returns the slope and the intercept of the least-squares line through the points.
func (s *Series) Line() (slope, intercept float64) {
	var sumN, sumValue float64
	for _, p := range s.Points {
		sumN += p.N
		sumValue += p.Value
	}
	meanN, meanValue := sumN/float64(len(s.Points)), sumValue/float64(len(s.Points))
	var covariance, variance float64
	for _, p := range s.Points {
		covariance += (p.N - meanN) * (p.Value - meanValue)
		variance += (p.N - meanN) * (p.N - meanN)
	}
	slope = covariance / variance
	return slope, meanValue - slope*meanN
}

// At returns the value of the line at size n, or 0 if it is negative.
func (s *Series) At(n float64) float64 {
	slope, intercept := s.Line()
	return max(0, intercept+slope*n)
}
