package disk_test

import (
	"errors"
	"slices"
	"testing"

	"dotterelgap/io/disk"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// openJournal opens a journal and returns all its records.
func openJournal(fsys disk.FS) (j *disk.Journal, got []string, err error) {
	j, err = disk.OpenJournal(fsys, dir, "witness", func(p []byte) error {
		got = append(got, string(p))
		return nil
	})
	return j, got, err
}

// TestJournalCrashes appends, replaces and crashes at random. After a crash, all
// acknowledged records must be there, and an unacknowledged write completely or not at all.
func TestJournalCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemFS()
		j, want, err := openJournal(m)
		if err != nil {
			t.Fatal(err)
		}
		crash := func(t *rapid.T, unacknowledged []string) {
			m.crash(rapid.IntRange(0, 40).Draw(t, "tear"), rapid.Bool().Draw(t, "garble"), rapid.Bool().Draw(t, "keep names"))
			var got []string
			if j, got, err = openJournal(m); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(got, want) && !slices.Equal(got, unacknowledged) {
				t.Fatalf("got %q, want %q or %q", got, want, unacknowledged)
			}
			want = got
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				r := rapid.StringN(1, 30, 30).Draw(t, "record")
				if err := j.Append([]byte(r)); err != nil {
					t.Fatal(err)
				}
				want = append(want, r)
			},
			"replace": func(t *rapid.T) {
				want = want[:len(want)/2]
				var payloads [][]byte
				for _, r := range want {
					payloads = append(payloads, []byte(r))
				}
				if err := j.Replace(payloads); err != nil {
					t.Fatal(err)
				}
			},
			"crash": func(t *rapid.T) { crash(t, want) },
			"crash in append": func(t *rapid.T) {
				r := rapid.StringN(1, 30, 30).Draw(t, "record")
				m.failSync = true
				if j.Append([]byte(r)) == nil || j.Append([]byte("x")) == nil {
					t.Fatal("journal accepted records after a failed sync")
				}
				m.failSync = false
				crash(t, append(slices.Clone(want), r))
			},
		})
	})
}

// Corruption before the last record is an error, since an acknowledged record is lost.
func TestJournalCorruption(t *testing.T) {
	is := is.New(t)
	m := newMemFS()
	j, _, err := openJournal(m)
	is.NoErr(err)
	is.NoErr(j.Append([]byte("first")))
	is.NoErr(j.Append([]byte("second")))
	m.names[dir+"/witness"].data[9] ^= 1
	_, _, err = openJournal(m)
	var corruption *disk.CorruptionError
	is.True(errors.As(err, &corruption))
	is.Equal(corruption.Offset, int64(0))
}
