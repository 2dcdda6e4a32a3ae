package commands

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// flatValues reads a settings file's keys with their values as text, as a flag
// would take them.
func flatValues(data []byte) (map[string]string, error) {
	std, err := hujson.Standardize(data)
	if err != nil {
		return nil, err
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(std, &raw); err != nil {
		return nil, err
	}
	out := map[string]string{}
	for k, v := range raw {
		out[k] = flatValue(v)
	}
	return out, nil
}

func flatValue(raw json.RawMessage) string {
	var list []string
	if err := json.Unmarshal(raw, &list); err == nil {
		return strings.Join(list, ",")
	}
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text
	}
	return fmt.Sprint(string(raw))
}
