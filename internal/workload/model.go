package workload

import (
	"time"

	"github.com/primroseladder/primroseladder/internal/evidence"
)

const (
	// maxClasses limits the classes of a service. Requests of further classes count as such of which nothing is known.
	maxClasses = 64
	// initialStdDev is the assumed standard deviation of the logarithm of durations before the first observations.
	initialStdDev = 0.6
)

// ClassModel is what is known of the requests of one class.
type ClassModel struct {
	// Usual is the model of the usual durations. It is hardly moved by the few requests that run many times as long, so that a
	// backend server's speed and health are judged by it.
	Usual evidence.DurationModel
	// Durations is the distribution of all durations.
	Durations Durations
	// bytes is the moving mean of the size of a request and its answer, 0 if none is known.
	bytes float64
}

func (m *ClassModel) observe(took time.Duration) {
	m.Usual.Observe(took)
	m.Durations.Observe(took)
}

// Model is what is known of the requests of one service.
type Model struct {
	all     ClassModel
	classes map[Class]*ClassModel
}

// NewModel returns a model without observations. initialMedian is the assumed median duration of a request.
func NewModel(initialMedian time.Duration) Model {
	return Model{
		all: ClassModel{
			Usual: evidence.NewDurationModel(initialMedian), Durations: NewDurations(initialMedian, initialStdDev),
		},
		classes: map[Class]*ClassModel{},
	}
}

// All returns the model of all requests of the service.
func (m *Model) All() *ClassModel { return &m.all }

// Of returns the model of a class, or that of all requests if none of the class has been observed.
func (m *Model) Of(c Class) *ClassModel {
	if known := m.classes[c]; known != nil {
		return known
	}
	return &m.all
}

// bytesWeight is the weight of a new request in the mean size.
const bytesWeight = 0.05

// observeBytes updates the mean size. The first size is taken as it is: starting from 0, the first requests would be sent to other
// regions as if traffic were free.
func (m *ClassModel) observeBytes(bytes int) {
	if m.bytes == 0 {
		m.bytes = float64(bytes)
	}
	m.bytes += bytesWeight * (float64(bytes) - m.bytes)
}

// ObserveBytes adds the size of a request of a class and its answer.
func (m *Model) ObserveBytes(c Class, bytes int) {
	m.all.observeBytes(bytes)
	if known := m.classes[c]; known != nil {
		known.observeBytes(bytes)
	}
}

// MeanBytes returns the mean size of the requests of a class and their answers, or of all requests if none of the class is known.
func (m *Model) MeanBytes(c Class) float64 {
	if known := m.classes[c]; known != nil && known.bytes > 0 {
		return known.bytes
	}
	return m.all.bytes
}

// Observe adds the duration of a successful request.
func (m *Model) Observe(c Class, took time.Duration) {
	known := m.classes[c]
	if known == nil && c != 0 && len(m.classes) < maxClasses {
		known = &ClassModel{Usual: m.all.Usual.Derive(), Durations: m.all.Durations.derive()}
		m.classes[c] = known
	}
	if known != nil {
		known.observe(took)
	}
	m.all.observe(took)
}
