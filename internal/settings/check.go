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

// namePattern is what names of nodes, zones and regions consist of.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// messages says what is wrong when a rule of the validate tags fails.
var messages = map[string]string{
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
	register(v, "name", namePattern.MatchString)
	register(v, "ip_port", isAddress)
	register(v, "base_url", isBaseURL)
	return v
}

func register(v *validator.Validate, rule string, holds func(string) bool) {
	err := v.RegisterValidation(rule, func(field validator.FieldLevel) bool {
		return holds(field.Field().String())
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

// check adds the faults of the merged settings to those of reading them.
func (r *reader) check(path string, settings Settings) {
	if failures, ok := newValidator().Struct(settings).(validator.ValidationErrors); ok {
		for _, failure := range failures {
			r.checkFailed(path, failure)
		}
	}
	r.checkZone(settings)
	r.checkDuplicates("zones", textsOf(settings.Zones))
	r.checkDuplicates("peers", settings.Peers)
	r.checkPorts(settings)
	r.checkAdvertised(settings)
}

func (r *reader) checkFailed(path string, failure validator.FieldError) {
	_, key, _ := strings.Cut(failure.Namespace(), ".")
	if r.faults.has(key) {
		return
	}
	origin := r.originOf(key)
	if origin == (Origin{}) {
		origin.Source = path
	}
	message := messages[failure.Tag()]
	if strings.Contains(message, "%") {
		message = fmt.Sprintf(message, failure.Value())
	}
	r.fault(origin, key, message)
}

func (r *reader) checkZone(settings Settings) {
	const key = "node.zone"
	if settings.Node.Zone == "" || len(settings.Zones) == 0 || r.faults.has(key) {
		return
	}
	if slices.Contains(settings.Zones, settings.Node.Zone) {
		return
	}
	message := fmt.Sprintf("zone %q is not among zones (%s)", settings.Node.Zone, strings.Join(textsOf(settings.Zones), ", "))
	r.fault(r.originOf(key), key, message)
}

func (r *reader) checkDuplicates(key string, items []string) {
	for i, item := range items {
		first := slices.Index(items, item)
		if first == i {
			continue
		}
		element := elementKey(key, strconv.Itoa(i))
		r.fault(r.originOf(element), element, fmt.Sprintf("%q is listed already as %s", item, elementKey(key, strconv.Itoa(first))))
	}
}

// addressUse is an address that is meant for one server only.
type addressUse struct {
	key     string
	address netip.AddrPort
}

// checkPorts refuses a listening port that another server uses already: the
// node's other listener, or a service of the platform on the same address.
func (r *reader) checkPorts(settings Settings) {
	platform := parseUses([]addressText{
		{"platform.log", strings.TrimPrefix(string(settings.Platform.Log), "http://")},
		{"platform.weights", strings.TrimPrefix(string(settings.Platform.Weights), "http://")},
		{"platform.machines", strings.TrimPrefix(string(settings.Platform.Machines), "http://")},
	})
	listeners := parseUses([]addressText{
		{"listen.client", settings.Listen.Client},
		{"listen.peer", settings.Listen.Peer},
	})
	for i, use := range listeners {
		same := func(other addressUse) bool { return other.address == use.address && use.address.Port() != 0 }
		used := slices.IndexFunc(platform, same)
		if used >= 0 {
			r.portUsed(use, platform[used])
		}
		if i > 0 && collide(listeners[0].address, use.address) {
			r.portUsed(use, listeners[0])
		}
	}
}

func (r *reader) portUsed(use, by addressUse) {
	r.fault(r.originOf(use.key), use.key, fmt.Sprintf("port %d is used already by %s", use.address.Port(), by.key))
}

type addressText struct{ key, text string }

// parseUses leaves out what is no address; that is reported elsewhere.
func parseUses(texts []addressText) []addressUse {
	var uses []addressUse
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text.text)
		if err == nil {
			uses = append(uses, addressUse{key: text.key, address: address})
		}
	}
	return uses
}

// collide reports whether two listeners on the addresses would be in each
// other's way. Port 0 takes a free port and is in nobody's way.
func collide(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkAdvertised refuses addresses that others can't dial.
func (r *reader) checkAdvertised(settings Settings) {
	pairs := []struct{ name, listen, advertise string }{
		{"client", settings.Listen.Client, settings.Advertise.Client},
		{"peer", settings.Listen.Peer, settings.Advertise.Peer},
	}
	for _, pair := range pairs {
		key := "advertise." + pair.name
		listen, err := netip.ParseAddrPort(pair.listen)
		if err == nil && listen.Addr().IsUnspecified() && pair.advertise == "" {
			r.fault(r.originOf("listen."+pair.name), key, "is required when listen."+pair.name+" names no single IP")
		}
		r.checkDialable(key, pair.advertise)
	}
	for i, peer := range settings.Peers {
		r.checkDialable(elementKey("peers", strconv.Itoa(i)), peer)
	}
	if settings.Advertise.Client != "" && settings.Advertise.Client == settings.Advertise.Peer {
		r.fault(r.originOf("advertise.peer"), "advertise.peer", "port is used already by advertise.client")
	}
}

func (r *reader) checkDialable(key, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		r.fault(r.originOf(key), key, fmt.Sprintf("%q can't be dialled: it needs an IP and a port", text))
	}
}

func textsOf[T ~string](values []T) []string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	return texts
}
