package ctrl_test

import (
	"os"
	"path/filepath"
	"testing"

	"dotterelgap/core/fleet"
	"dotterelgap/core/state"
	"dotterelgap/io/ctrl"
	"dotterelgap/io/wire"

	"github.com/matryer/is"
)

// Guards against an acknowledged order that is not on the disk: the power fails right after the
// acknowledgement, before and after a snapshot. The host starts from a copy of its folder as it
// is then.
func TestEvacuationOutlivesThePower(t *testing.T) {
	for name, large := range map[string]bool{"log": false, "snapshot": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			_, c, _ := startIn(t, dir)
			order := state.Evacuate{Place: "a"}
			r, err := ctrl.Call[wire.EvacuateReply](t.Context(), c, "Control.Evacuate", &order)
			is.NoErr(err)
			is.True(r.InForce)
			if large { // longer than a log that is not compacted
				p := state.Publish{Number: 1, Data: make([]byte, 2<<20)}
				_, err := ctrl.Call[wire.PublishReply](t.Context(), c, "Control.Publish", &p)
				is.NoErr(err)
			}
			copied := t.TempDir()
			copyFolder(t, dir, copied)
			_, c, _ = serveFolder(t, copied, listen(t), func(*ctrl.Deps) {})
			got, err := ctrl.Call[wire.PolicyReply](t.Context(), c, "Control.Policy", &wire.PolicyArgs{})
			is.NoErr(err)
			is.Equal(got.Evacuations, fleet.Evacuations{Number: 1, Places: []fleet.Place{"a"}})
			again, err := ctrl.Call[wire.EvacuateReply](t.Context(), c, "Control.Evacuate", &order)
			is.NoErr(err)
			is.True(again.InForce)
			is.Equal(again.Evacuations.Number, uint64(1))
		})
	}
}

func copyFolder(t *testing.T, from, to string) {
	t.Helper()
	entries, err := os.ReadDir(from)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		data, err := os.ReadFile(filepath.Join(from, e.Name()))
		if err == nil {
			err = os.WriteFile(filepath.Join(to, e.Name()), data, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}
