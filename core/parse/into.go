package parse

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Into decodes data into dst, a pointer to a struct, and returns the problems that it found.
// file is the file name in the problems.
func Into(file string, data []byte, dst any) *Problems {
	d := &decoder{newlines: newlines(data), problems: &Problems{file: file, lines: map[string]int{"": 1}}}
	v, err := hujson.Parse(data)
	if err != nil {
		d.problems.addAt(syntaxLine(data, err), "", "invalid JSON with comments: "+err.Error())
		return d.problems
	}
	d.value(v, "", reflect.ValueOf(dst).Elem())
	return d.problems
}

// syntaxLine returns the line of a syntax error. It parses the library's message, which
// starts with "hujson: line N", and defaults to the last line.
func syntaxLine(data []byte, err error) int {
	var line int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d", &line); scanErr != nil {
		return bytes.Count(data, []byte("\n")) + 1
	}
	return line
}

type decoder struct {
	// newlines contains the offsets of the newline characters.
	newlines []int
	problems *Problems
}

func newlines(data []byte) []int {
	var out []int
	for i, c := range data {
		if c == '\n' {
			out = append(out, i)
		}
	}
	return out
}

func (d *decoder) lineOf(offset int) int {
	n, _ := slices.BinarySearch(d.newlines, offset)
	return n + 1
}

func (d *decoder) value(v hujson.Value, path string, dst reflect.Value) {
	if _, ok := d.problems.lines[path]; !ok || path == "" {
		d.problems.lines[path] = d.lineOf(v.StartOffset)
	}
	if dst.Kind() == reflect.Pointer {
		dst.Set(reflect.New(dst.Type().Elem()))
		dst = dst.Elem()
	}
	if u, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(v, path, u)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.object(v, path, dst)
	case reflect.Slice:
		d.array(v, path, dst)
	case reflect.Map:
		d.stringMap(v, path, dst)
	default:
		d.scalar(v, path, dst)
	}
}

func (d *decoder) text(v hujson.Value, path string, u encoding.TextUnmarshaler) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.problems.Add(path, "must be a string")
		return
	}
	if err := u.UnmarshalText([]byte(lit.String())); err != nil {
		d.problems.Add(path, "%v", err)
	}
}

func (d *decoder) scalar(v hujson.Value, path string, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.problems.Add(path, "must be %s", kindName(dst.Kind()))
		return
	}
	if err := json.Unmarshal([]byte(lit), dst.Addr().Interface()); err != nil {
		d.problems.Add(path, "must be %s, not %s", kindName(dst.Kind()), string(lit))
	}
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "an integer"
	}
}

func (d *decoder) array(v hujson.Value, path string, dst reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.problems.Add(path, "must be an array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		d.value(e, fmt.Sprintf("%s[%d]", path, i), dst.Index(i))
	}
}

func (d *decoder) stringMap(v hujson.Value, path string, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.problems.Add(path, "must be an object")
		return
	}
	dst.Set(reflect.MakeMap(dst.Type()))
	for _, m := range obj.Members {
		key, sub := d.member(m, path)
		elem := reflect.New(dst.Type().Elem()).Elem()
		d.value(m.Value, sub, elem)
		if dst.MapIndex(reflect.ValueOf(key).Convert(dst.Type().Key())).IsValid() {
			d.problems.Add(sub, "duplicate key")
		}
		dst.SetMapIndex(reflect.ValueOf(key).Convert(dst.Type().Key()), elem)
	}
}

func (d *decoder) member(m hujson.ObjectMember, path string) (key, sub string) {
	key = m.Name.Value.(hujson.Literal).String()
	sub = join(path, key)
	d.problems.lines[sub] = d.lineOf(m.Name.StartOffset)
	return key, sub
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *decoder) object(v hujson.Value, path string, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.problems.Add(path, "must be an object")
		return
	}
	fields := fieldsOf(dst)
	seen := map[string]bool{}
	for _, m := range obj.Members {
		key, sub := d.member(m, path)
		f, ok := fields[key]
		switch {
		case !ok:
			d.problems.Add(sub, "unknown key; valid keys are %s", strings.Join(sortedKeys(fields), ", "))
		case seen[key]:
			d.problems.Add(sub, "duplicate key")
		default:
			d.value(m.Value, sub, f)
		}
		seen[key] = true
	}
}

func fieldsOf(dst reflect.Value) map[string]reflect.Value {
	out := map[string]reflect.Value{}
	for i := range dst.NumField() {
		name, _, _ := strings.Cut(dst.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = dst.Field(i)
		}
	}
	return out
}

func sortedKeys(m map[string]reflect.Value) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
