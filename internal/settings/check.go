package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// namePattern matches valid names of nodes, zones and regions.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ruleMessages holds the error message of each validation rule; a verb is
// replaced by the invalid value.
var ruleMessages = map[string]string{
	"required": "is required",
	"name":     "%q is no name: use letters, digits, '.', '_' and '-', 63 at most",
	"ip_port":  "%q is no address: write IP:port, such as 127.0.0.1:7001",
	"base_url": `%q is no base URL: write one such as "http://127.0.0.1:7001", without a path at its end`,
	"gt":       "%v must be greater than zero",
	"gte":      "%v must not be negative",
	"lte":      "%v must not be greater than 1",
	"gtefield": "%v must not be less than limits.deadline",
	"oneof":    "%q is none of debug, info, warn, error",
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(member reflect.StructField) string { return member.Tag.Get("koanf") })
	registerRule(v, "name", namePattern.MatchString)
	registerRule(v, "ip_port", isAddress)
	registerRule(v, "base_url", isBaseURL)
	return v
}

func registerRule(v *validator.Validate, rule string, isValid func(string) bool) {
	err := v.RegisterValidation(rule, func(field validator.FieldLevel) bool {
		return isValid(field.Field().String())
	})
	if err != nil {
		panic(fmt.Sprintf("settings: register rule %s: %v", rule, err))
	}
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isBaseURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil {
		return false
	}
	return parsed.Scheme == "http" && parsed.Host != "" && parsed.Path == "" && parsed.RawQuery == ""
}

// validate checks the merged settings and records their errors.
func (l *loader) validate(path string, settings Settings) {
	if failures, ok := newValidator().Struct(settings).(validator.ValidationErrors); ok {
		for _, failure := range failures {
			l.addValidationFailure(path, failure)
		}
	}
	l.validateZone(settings)
	l.validateUnique("zones", toStrings(settings.Zones))
	l.validateUnique("peers", settings.Peers)
	l.validatePorts(settings)
	l.validateAdvertised(settings)
}

func (l *loader) addValidationFailure(path string, failure validator.FieldError) {
	_, key, _ := strings.Cut(failure.Namespace(), ".")
	if l.errors.hasKey(key) {
		return
	}
	origin := l.originOf(key)
	if origin == (Origin{}) {
		origin.Source = path
	}
	message := ruleMessages[failure.Tag()]
	if strings.Contains(message, "%") {
		message = fmt.Sprintf(message, failure.Value())
	}
	l.addError(origin, key, message)
}

func (l *loader) validateZone(settings Settings) {
	const key = "node.zone"
	if settings.Node.Zone == "" || len(settings.Zones) == 0 || l.errors.hasKey(key) {
		return
	}
	if slices.Contains(settings.Zones, settings.Node.Zone) {
		return
	}
	message := fmt.Sprintf("zone %q is not among zones (%s)", settings.Node.Zone, strings.Join(toStrings(settings.Zones), ", "))
	l.addError(l.originOf(key), key, message)
}

func (l *loader) validateUnique(key string, items []string) {
	for i, item := range items {
		first := slices.Index(items, item)
		if first == i {
			continue
		}
		element := elementKey(key, strconv.Itoa(i))
		l.addError(l.originOf(element), element, fmt.Sprintf("%q is listed already as %s", item, elementKey(key, strconv.Itoa(first))))
	}
}

// keyedAddress is an address with the settings key that it comes from.
type keyedAddress struct {
	key     string
	address netip.AddrPort
}

// validatePorts rejects a listening port that is already in use by the node's
// other listener, or by a platform service on the same address.
func (l *loader) validatePorts(settings Settings) {
	platformAddresses := parseAddresses([]unparsedAddress{
		{"platform.log", strings.TrimPrefix(string(settings.Platform.Log), "http://")},
		{"platform.weights", strings.TrimPrefix(string(settings.Platform.Weights), "http://")},
		{"platform.machines", strings.TrimPrefix(string(settings.Platform.Machines), "http://")},
	})
	listeners := parseAddresses([]unparsedAddress{
		{"listen.client", settings.Listen.Client},
		{"listen.peer", settings.Listen.Peer},
	})
	for i, listener := range listeners {
		same := func(other keyedAddress) bool {
			return other.address == listener.address && listener.address.Port() != 0
		}
		conflict := slices.IndexFunc(platformAddresses, same)
		if conflict >= 0 {
			l.addPortConflict(listener, platformAddresses[conflict])
		}
		if i > 0 && conflicts(listeners[0].address, listener.address) {
			l.addPortConflict(listener, listeners[0])
		}
	}
}

func (l *loader) addPortConflict(listener, other keyedAddress) {
	l.addError(l.originOf(listener.key), listener.key, fmt.Sprintf("port %d is used already by %s", listener.address.Port(), other.key))
}

type unparsedAddress struct{ key, text string }

// parseAddresses skips invalid addresses; the ip_port and base_url rules report
// them.
func parseAddresses(texts []unparsedAddress) []keyedAddress {
	var addresses []keyedAddress
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text.text)
		if err == nil {
			addresses = append(addresses, keyedAddress{key: text.key, address: address})
		}
	}
	return addresses
}

// conflicts reports whether two listeners can't be bound to both addresses at
// once. Port 0 binds a free port and never conflicts.
func conflicts(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// validateAdvertised rejects advertised and peer addresses that can't be dialed.
func (l *loader) validateAdvertised(settings Settings) {
	pairs := []struct{ name, listen, advertise string }{
		{"client", settings.Listen.Client, settings.Advertise.Client},
		{"peer", settings.Listen.Peer, settings.Advertise.Peer},
	}
	for _, pair := range pairs {
		key := "advertise." + pair.name
		listen, err := netip.ParseAddrPort(pair.listen)
		if err == nil && listen.Addr().IsUnspecified() && pair.advertise == "" {
			l.addError(l.originOf("listen."+pair.name), key, "is required when listen."+pair.name+" names no single IP")
		}
		l.validateDialable(key, pair.advertise)
	}
	for i, peer := range settings.Peers {
		l.validateDialable(elementKey("peers", strconv.Itoa(i)), peer)
	}
	if settings.Advertise.Client != "" && settings.Advertise.Client == settings.Advertise.Peer {
		l.addError(l.originOf("advertise.peer"), "advertise.peer", "port is used already by advertise.client")
	}
}

func (l *loader) validateDialable(key, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		l.addError(l.originOf(key), key, fmt.Sprintf("%q can't be dialled: it needs an IP and a port", text))
	}
}

func toStrings[T ~string](values []T) []string {
	converted := make([]string, len(values))
	for i, value := range values {
		converted[i] = string(value)
	}
	return converted
}
