package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// options are the name=value arguments of a command. Each accessor returns the value of one option, or the fallback if
// the command does not set it. Conversion errors are collected and returned by err.
type options struct {
	values map[string]string
	errs   []error
}

// parseOptions splits arguments into name=value options and positional arguments.
func parseOptions(args []string) (*options, []string) {
	o := &options{values: map[string]string{}}
	var rest []string
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		if !found {
			rest = append(rest, arg)
			continue
		}
		o.values[name] = value
	}
	return o, rest
}

// text removes the option from values, so that err can report the options that are left as unknown.
func (o *options) text(name, fallback string) string {
	value, found := o.values[name]
	delete(o.values, name)
	if !found {
		return fallback
	}
	return value
}

func (o *options) integer(name string, fallback int) int {
	value, err := strconv.Atoi(o.text(name, strconv.Itoa(fallback)))
	o.recordError(name, err)
	return value
}

func (o *options) number(name string, fallback float64) float64 {
	value, err := strconv.ParseFloat(o.text(name, strconv.FormatFloat(fallback, 'g', -1, 64)), 64)
	o.recordError(name, err)
	return value
}

func (o *options) duration(name string, fallback time.Duration) time.Duration {
	value, err := time.ParseDuration(o.text(name, fallback.String()))
	o.recordError(name, err)
	return value
}

// flag returns an option that is "on" or "off".
func (o *options) flag(name string, fallback bool) bool {
	switch value := o.text(name, ""); value {
	case "":
		return fallback
	case "on":
		return true
	case "off":
		return false
	default:
		o.recordError(name, fmt.Errorf("%q is neither \"on\" nor \"off\"", value))
		return fallback
	}
}

func (o *options) recordError(name string, err error) {
	if err != nil {
		o.errs = append(o.errs, fmt.Errorf("%s: %w", name, err))
	}
}

// err returns the collected errors and one error for each option that no accessor has read.
func (o *options) err() error {
	for name := range o.values {
		o.errs = append(o.errs, fmt.Errorf("unknown option %s", name))
	}
	return errors.Join(o.errs...)
}
