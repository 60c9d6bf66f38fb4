package planner

import (
	"fmt"
	"math"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"

	"dalehook/internal/record"
)

// The limits of an event.
const (
	MaxCrowd    = 10_000_000
	MaxDemands  = 32
	MaxDuration = 31 * 24 * time.Hour
	maxTokens   = 10_000_000
)

// namePattern is the form of the names of machines' parts in an event: services,
// classes, trainers, pools and models.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// titlePattern is the form of an event's own name, which people read.
var titlePattern = regexp.MustCompile(`^[\pL\pN][\pL\pN ._-]{0,63}$`)

// FieldError names a field of an event that is not possible.
type FieldError struct {
	// Field is the path in the event's JSON, such as "services[0].service".
	Field   string
	Message string
}

// Error implements error.
func (e FieldError) Error() string { return e.Field + ": " + e.Message }

// validate checks the tags of the record types; it is safe for concurrent use.
var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New()
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return v
}

// checker collects the errors of an event, one for each field.
type checker struct{ faults []FieldError }

func (c *checker) fail(field, format string, arguments ...any) {
	for _, known := range c.faults {
		if known.Field == field {
			return
		}
	}
	c.faults = append(c.faults, FieldError{Field: field, Message: fmt.Sprintf(format, arguments...)})
}

func (c *checker) name(field, value string) {
	if value != "" && !namePattern.MatchString(value) {
		c.fail(field, "only letters, digits, '.', '_' and '-', at most 64")
	}
}

func (c *checker) duration(field string, value record.Duration) {
	if value < 0 || value.Std() > MaxDuration {
		c.fail(field, "between 0 and %v", MaxDuration)
	}
}

// Check returns what is wrong with an event; nil when nothing is.
func Check(event record.Event) []FieldError {
	c := &checker{}
	c.tags(event)
	c.event(event)
	for i, demand := range event.Services {
		c.service(fmt.Sprintf("services[%d].", i), demand, event.Services[:i])
	}
	for i, demand := range event.Rollouts {
		c.rollout(fmt.Sprintf("rollouts[%d].", i), demand, event.Rollouts[:i])
	}
	return c.faults
}

// tags checks the validate tags of the record types.
func (c *checker) tags(event record.Event) {
	var faults validator.ValidationErrors
	if !eris.As(validate.Struct(event), &faults) {
		return
	}
	for _, fault := range faults {
		_, field, _ := strings.Cut(fault.Namespace(), ".")
		if fault.Tag() == "required" {
			c.fail(field, "is required")
		} else {
			c.fail(field, "must be %s %s", fault.Tag(), fault.Param())
		}
	}
}

func (c *checker) event(event record.Event) {
	if event.Name != "" && !titlePattern.MatchString(event.Name) {
		c.fail("name", "only letters, digits, spaces, '.', '_' and '-', at most 64")
	}
	c.duration("duration", event.Duration)
	c.duration("arrival", event.Arrival)
	if event.Duration <= 0 {
		c.fail("duration", "must be more than 0")
	}
	if event.Arrival > event.Duration {
		c.fail("arrival", "is longer than the event")
	}
	if event.Crowd > MaxCrowd {
		c.fail("crowd", "at most %d", MaxCrowd)
	}
	if len(event.Services) > MaxDemands {
		c.fail("services", "at most %d", MaxDemands)
	}
	if len(event.Rollouts) > MaxDemands {
		c.fail("rollouts", "at most %d", MaxDemands)
	}
	if len(event.Services)+len(event.Rollouts) == 0 {
		c.fail("services", "the event asks for no service and no rollouts")
	}
}

func (c *checker) service(path string, demand record.ServiceDemand, earlier []record.ServiceDemand) {
	c.name(path+"service", demand.Service)
	c.name(path+"class", demand.Class)
	c.duration(path+"service_time", demand.ServiceTime)
	if math.IsNaN(demand.RequestsPerCaller) || demand.RequestsPerCaller > MaxCrowd {
		c.fail(path+"requests_per_caller", "at most %d", MaxCrowd)
	}
	for _, other := range earlier {
		if other.Service == demand.Service && other.ClassName() == demand.ClassName() {
			c.fail(path+"class", "class %q of service %q stands twice", demand.ClassName(), demand.Service)
		}
	}
}

func (c *checker) rollout(path string, demand record.RolloutDemand, earlier []record.RolloutDemand) {
	c.name(path+"trainer", demand.Trainer)
	c.name(path+"pool", demand.Pool)
	c.name(path+"model", string(demand.Model))
	c.name(path+"class", demand.Class)
	c.duration(path+"step_every", demand.StepEvery)
	if demand.SamplesPerStep > 0 && demand.StepEvery <= 0 {
		c.fail(path+"step_every", "must be more than 0")
	}
	if demand.SamplesPerStep > 0 && demand.MeanTokens <= 0 {
		c.fail(path+"mean_tokens", "must be more than 0")
	}
	if demand.MaxTokens > maxTokens {
		c.fail(path+"max_tokens", "at most %d", maxTokens)
	}
	if demand.MaxTokens < demand.MeanTokens {
		c.fail(path+"max_tokens", "is less than mean_tokens")
	}
	if demand.SamplesPerStep > MaxCrowd {
		c.fail(path+"samples_per_step", "at most %d", MaxCrowd)
	}
	for _, other := range earlier {
		if other.Trainer == demand.Trainer && other.Model == demand.Model && other.Pool == demand.Pool {
			c.fail(path+"trainer", "trainer %q stands twice for this pool and model", demand.Trainer)
		}
	}
}
