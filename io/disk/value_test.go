package disk_test

import (
	"testing"

	"dotterelgap/io/disk"

	"pgregory.net/rapid"
)

// TestValueCrashes saves and crashes at random. After a crash, the value must be the one
// that was saved last.
func TestValueCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemFS()
		if err := m.MkdirAll(dir); err != nil {
			t.Fatal(err)
		}
		want := ""
		t.Repeat(map[string]func(*rapid.T){
			"save": func(t *rapid.T) {
				want = rapid.String().Draw(t, "value")
				if err := disk.NewValue[string](m, dir, "value").Save(want); err != nil {
					t.Fatal(err)
				}
			},
			"crash": func(t *rapid.T) {
				m.crash(rapid.IntRange(0, 40).Draw(t, "tear"), rapid.Bool().Draw(t, "garble"), rapid.Bool().Draw(t, "keep names"))
			},
			"": func(t *rapid.T) {
				got, err := disk.NewValue[string](m, dir, "value").Load()
				if err != nil || got != want {
					t.Fatalf("got %q, %v, want %q", got, err, want)
				}
			},
		})
	})
}
