package codec_test

import (
	"testing"
	"time"

	"dotterelgap/core/codec"

	"github.com/matryer/is"
)

// Times keep their nanoseconds, because the intervals between timestamps in the log decide
// what dead holders are billed.
func TestTimesKeepNanoseconds(t *testing.T) {
	is := is.New(t)
	want := time.Date(2026, 12, 4, 10, 0, 0, 123_456_789, time.UTC)
	data, err := codec.Marshal(map[string]time.Time{"at": want})
	is.NoErr(err)
	var got map[string]time.Time
	is.NoErr(codec.Unmarshal(data, &got))
	is.True(got["at"].Equal(want))
}
