package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// Default values of settings. The schema's comments document the same values.
const (
	defaultCallerAddr   = "127.0.0.1:8080"
	defaultOperatorAddr = "127.0.0.1:8081"
	defaultMaxBodyBytes = 4 << 20
	// The bodies held at once are some thousand long prompts.
	defaultMaxHeldBodyBytes = 64 << 20
	// DefaultMaxCallerConnections limits the connections of callers of a router.
	DefaultMaxCallerConnections = 1500
	// DefaultReadTimeout limits the time that a caller may take to send a
	// request.
	DefaultReadTimeout  = 10 * time.Second
	defaultDrainTimeout = 150 * time.Second
	defaultBalancerLag  = 2 * time.Second
	defaultBufferBytes  = 64 << 20
	defaultLogLevel     = "info"
)

// Descriptions of expected values, used in faults.
const (
	expectAddress  = "an IP address and port such as 127.0.0.1:8080"
	expectDuration = "a duration above zero such as 10s"
	expectBytes    = "a number of bytes above zero"
	expectURL      = "a URL such as http://127.0.0.1:9000"
	expectName     = "1 to 64 letters, digits, dots, dashes or underscores"
)

// maxNameBytes is the maximum length of a process, target or zone name.
const maxNameBytes = 64

// rule validates one field and sets its default value.
type rule struct {
	// field is the path of the field, such as process.name.
	field string
	// expected describes a valid value.
	expected string
	// check reports whether the value is valid; set is true if the file sets it.
	check func(set bool) bool
}

func (r rule) problem(set bool) string {
	if set {
		return "value is not valid"
	}
	return "required field is missing"
}

func routerRules(s *zinniaquayv1.RouterSettings) []rule {
	return append(processRules(s.Process),
		address("caller_addr", &s.CallerAddr, defaultCallerAddr),
		address("operator_addr", &s.OperatorAddr, defaultOperatorAddr),
		required("operator_token_file", &s.OperatorTokenFile),
		positiveBytes("max_body_bytes", &s.MaxBodyBytes, defaultMaxBodyBytes),
		heldBytes("max_held_body_bytes", s),
		positiveNumber("max_caller_connections", &s.MaxCallerConnections, DefaultMaxCallerConnections),
		positiveDuration("read_timeout", &s.ReadTimeout, DefaultReadTimeout),
		positiveDuration("drain_timeout", &s.DrainTimeout, defaultDrainTimeout),
		positiveDuration("balancer_lag", &s.BalancerLag, defaultBalancerLag),
	)
}

func sidecarRules(s *zinniaquayv1.SidecarSettings) []rule {
	return append(processRules(s.Process),
		name("target", &s.Target),
		baseURL("target_url", &s.TargetUrl),
		positiveBytes("buffer_bytes", &s.BufferBytes, defaultBufferBytes),
		positiveDuration("drain_timeout", &s.DrainTimeout, defaultDrainTimeout),
	)
}

func processRules(p *zinniaquayv1.ProcessSettings) []rule {
	return []rule{
		name("process.name", &p.Name),
		address("process.peer_addr", &p.PeerAddr, ""),
		name("process.zone", &p.Zone),
		required("process.fleet_token_file", &p.FleetTokenFile),
		address("process.platform_addr", &p.PlatformAddr, ""),
		addresses("process.seed_addrs", &p.SeedAddrs),
		oneOf("process.log_level", &p.LogLevel, defaultLogLevel, "debug", "info", "error"),
	}
}

func required(field string, value *string) rule {
	return rule{field, "the path of a file", func(bool) bool { return *value != "" }}
}

func name(field string, value *string) rule {
	return rule{field, expectName, func(bool) bool { return validName(*value) }}
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range s {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune("._-", c) {
			return false
		}
	}
	return true
}

func address(field string, value *string, defaultValue string) rule {
	return rule{field, expectAddress, func(set bool) bool {
		if !set {
			*value = defaultValue
		}
		return validAddress(*value)
	}}
}

func addresses(field string, values *[]string) rule {
	return rule{field, "a list, each " + expectAddress, func(bool) bool {
		return !slices.ContainsFunc(*values, func(s string) bool { return !validAddress(s) })
	}}
}

func validAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func baseURL(field string, value *string) rule {
	return rule{field, expectURL, func(bool) bool {
		u, err := url.Parse(*value)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}}
}

func positiveBytes(field string, value *int64, defaultValue int64) rule {
	return rule{field, expectBytes, func(set bool) bool {
		if !set {
			*value = defaultValue
		}
		return *value > 0
	}}
}

// heldBytes validates the size of all bodies together. While one is read it may take twice its
// size.
func heldBytes(field string, s *zinniaquayv1.RouterSettings) rule {
	return rule{field, "at least twice max_body_bytes", func(set bool) bool {
		if !set {
			s.MaxHeldBodyBytes = max(defaultMaxHeldBodyBytes, 2*s.MaxBodyBytes)
		}
		return s.MaxHeldBodyBytes >= 2*s.MaxBodyBytes
	}}
}

func positiveNumber(field string, value *int64, defaultValue int64) rule {
	return rule{field, "a number above zero", func(set bool) bool {
		if !set {
			*value = defaultValue
		}
		return *value > 0
	}}
}

func positiveDuration(field string, value **durationpb.Duration, defaultValue time.Duration) rule {
	return rule{field, expectDuration, func(set bool) bool {
		if !set {
			*value = durationpb.New(defaultValue)
		}
		return (*value).IsValid() && (*value).AsDuration() > 0
	}}
}

func oneOf(field string, value *string, defaultValue string, allowed ...string) rule {
	return rule{field, "one of " + strings.Join(allowed, ", "), func(set bool) bool {
		if !set {
			*value = defaultValue
		}
		return slices.Contains(allowed, *value)
	}}
}
