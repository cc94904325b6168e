package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/arbutusspan/arbutusspan/internal/host"
)

// variant is a dispatch policy with options, written as POLICY or POLICY:OPTION=VALUE, with a further :OPTION=VALUE for each
// further option.
type variant struct {
	name   string // as given
	policy string
	apply  []func(*host.Settings)
}

// option is one option of a variant. An option without a value is parsed as the empty string.
type option struct {
	policies []string // that have the option
	parse    func(value string) (func(*host.Settings), error)
}

// variantOptions are the options of variants, by name.
var variantOptions = map[string]option{
	"hedge": {policies: []string{host.PolicyQueue}, parse: func(value string) (func(*host.Settings), error) {
		if value != "true" && value != "false" {
			return nil, errors.New("use true or false")
		}
		return func(s *host.Settings) { s.Hedge = value == "true" }, nil
	}},
	"prefetch": {policies: []string{host.PolicyQueue}, parse: func(value string) (func(*host.Settings), error) {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > host.MaxDispatchPrefetch {
			return nil, fmt.Errorf("use a number from 0 to %d", host.MaxDispatchPrefetch)
		}
		return func(s *host.Settings) { s.DispatchPrefetch = &n }, nil
	}},
}

// parseVariants parses variants and refuses duplicates, which the results could not tell apart.
func parseVariants(texts []string) ([]variant, error) {
	var out []variant
	for _, text := range texts {
		v, err := parseVariant(text)
		if err != nil {
			return nil, fmt.Errorf("--policy is %q: %w", text, err)
		}
		if slices.ContainsFunc(out, func(other variant) bool { return other.name == v.name }) {
			return nil, fmt.Errorf("--policy names %q twice: name each variant once", text)
		}
		out = append(out, v)
	}
	return out, nil
}

func parseVariant(text string) (variant, error) {
	policy, rest, more := strings.Cut(text, ":")
	v := variant{name: text, policy: policy}
	if !slices.Contains(host.Policies(), policy) {
		return v, fmt.Errorf("the policy is unknown: use one of %v", host.Policies())
	}
	var seen []string
	for more {
		var part string
		part, rest, more = strings.Cut(rest, ":")
		name, value, _ := strings.Cut(part, "=")
		o, ok := variantOptions[name]
		switch {
		case !ok || !slices.Contains(o.policies, policy):
			return v, fmt.Errorf("%s has no option %q: options are %v, written as POLICY:OPTION=VALUE", policy, name, optionsOf(policy))
		case slices.Contains(seen, name):
			return v, fmt.Errorf("option %s is given twice", name)
		}
		seen = append(seen, name)
		apply, err := o.parse(value)
		if err != nil {
			return v, fmt.Errorf("option %s is %q: %w", name, value, err)
		}
		v.apply = append(v.apply, apply)
	}
	return v, nil
}

func optionsOf(policy string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(variantOptions)), func(name string) bool {
		return !slices.Contains(variantOptions[name].policies, policy)
	})
}

// change puts the variant into the settings of a host.
func (v variant) change(s *host.Settings) {
	s.DispatchPolicy = v.policy
	for _, apply := range v.apply {
		apply(s)
	}
}
