package lab

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// fieldsOf returns the settings of a machine, as DEPLOY shows them.
func fieldsOf(name, zone, clients, ready, peers, store string) map[string]any {
	ip, _, _ := strings.Cut(clients, ":")
	return map[string]any{
		"bootstrap": true,
		"bounds": map[string]any{
			"ackMs": 4000, "againS": 0, "applyMs": 2000, "budgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10, "burstFactor": 1.1,
			"catchupS": 4, "ceilingWindowS": 5, "drainMs": 2000, "graceS": 8, "leaseMs": 3000, "lossSlackMs": 200, "maxStretchMs": 5000,
			"passMs": 120, "recoveryS": 12, "requireFencing": true, "reuseAfterS": 2, "rollbackSlackMs": 250, "seedLagS": 3,
			"stableWindowMs": 3000, "thawSlackMs": 300,
		},
		"contracts":      []any{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"dataDir":        nil,
		"discovery":      "platform",
		"entry":          "vip",
		"faultTolerance": map[string]any{"machines": 2, "regions": 0, "zones": 0},
		"heartbeatMs":    1200,
		"inFaultBudget":  false,
		"ip":             ip,
		"limits": map[string]any{
			"cores": 1, "cpuShare": 0.4, "diskMb": 0, "linkMbps": 1000.0, "maxFds": 4100, "memoryMb": 284,
		},
		"listen":       map[string]any{"control": peers, "front": clients, "ready": ready},
		"machineClass": "front",
		"nodeName":     name,
		"platform": map[string]any{
			"address": store, "appendMs": 2.0, "callBytes": 2097152, "form": "log", "keep_s": 300, "partMb": 200, "partitionMbS": 20.0,
			"parts": 12, "readMbS": 80.0, "readsPerS": 2000, "recordBytes": 262144, "ttlMinMs": 1000, "writesPerS": 400,
		},
		"portRange": []any{7380, 7395},
		"region":    "ee-north",
		"role":      "entry",
		"seeds":     []any{peers},
		"serves":    []any{"front", "control"},
		"zone":      zone,
		"zones":     map[string]any{zone: "ee-north"},
	}
}

// scope resolves the names in a template: those of the innermost section first.
type scope struct {
	comma bool
	key   string
	outer *scope
	value any
}

func (s *scope) lookup(path string) any {
	if path == "." {
		return s.value
	}
	for at := s; at != nil; at = at.outer {
		if v, ok := walk(at.value, strings.Split(path, ".")); ok {
			return v
		}
	}
	return nil
}

func walk(v any, path []string) (any, bool) {
	for _, part := range path {
		switch t := v.(type) {
		case map[string]any:
			next, ok := t[part]
			if !ok {
				return nil, false
			}
			v = next
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(t) {
				return nil, false
			}
			v = t[i]
		default:
			return nil, false
		}
	}
	return v, true
}

// render fills in a template, as DEPLOY tells.
func render(text string, s *scope) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, ok := strings.Cut(rest, "}}")
		if !ok {
			return "", fmt.Errorf("the template has an open placeholder")
		}
		text = after
		switch {
		case name == "@":
			out.WriteString(s.key)
		case name == ",":
			if s.comma {
				out.WriteString(",")
			}
		case strings.HasPrefix(name, "#"), strings.HasPrefix(name, "^"):
			end := "{{/" + name[1:] + "}}"
			body, after, ok := strings.Cut(text, end)
			if !ok {
				return "", fmt.Errorf("the template's section %s has no end", name)
			}
			text = after
			part, err := section(name, body, s)
			if err != nil {
				return "", err
			}
			out.WriteString(part)
		default:
			path, asJSON := strings.CutSuffix(name, "|json")
			out.WriteString(textOf(s.lookup(path), asJSON))
		}
	}
}

// section renders a section for each entry of its value.
func section(name, body string, s *scope) (string, error) {
	v := s.lookup(name[1:])
	if name[0] == '^' {
		if v == nil || v == false {
			return render(body, s)
		}
		return "", nil
	}
	var entries []*scope
	switch t := v.(type) {
	case nil:
	case bool:
		if t {
			return render(body, s)
		}
	case []any:
		for i, e := range t {
			entries = append(entries, &scope{comma: i < len(t)-1, key: strconv.Itoa(i), outer: s, value: e})
		}
	case map[string]any:
		var keys []string
		for k := range t {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for i, k := range keys {
			entries = append(entries, &scope{comma: i < len(keys)-1, key: k, outer: s, value: t[k]})
		}
	default:
		return render(body, &scope{outer: s, value: v})
	}
	var out strings.Builder
	for _, e := range entries {
		part, err := render(body, e)
		if err != nil {
			return "", err
		}
		out.WriteString(part)
	}
	return out.String(), nil
}

// textOf returns a value as text or as JSON.
func textOf(v any, asJSON bool) string {
	if list, ok := v.([]any); ok && !asJSON {
		var parts []string
		for _, e := range list {
			parts = append(parts, textOf(e, false))
		}
		return strings.Join(parts, ",")
	}
	if text, ok := v.(string); ok && !asJSON {
		return text
	}
	if v == nil && !asJSON {
		return ""
	}
	data, _ := json.Marshal(v)
	return string(data)
}
