package commands

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// flatValues returns the keys of a settings file with their values in the text form
// that flags accept.
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
