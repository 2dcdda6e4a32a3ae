package quota_test

import (
	"testing"
	"time"

	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

func TestSinceEntry(t *testing.T) {
	const slack = 500 * time.Millisecond
	word := func(since time.Duration, index uint64) quota.Elapsed {
		return quota.Elapsed{Known: true, Since: since, Index: index}
	}
	leader := func(since time.Duration, index uint64) quota.Elapsed {
		return quota.Elapsed{Known: true, Since: since, Index: index, Leader: true}
	}
	for name, c := range map[string]struct {
		words []quota.Elapsed
		want  time.Duration
		ok    bool
	}{
		"one lags by seconds": {[]quota.Elapsed{leader(time.Second, 90), word(4*time.Second, 40), word(time.Second, 90)}, time.Second, true},
		"the leader wrote more by itself before it died": {
			[]quota.Elapsed{leader(100*time.Millisecond, 99), word(3*time.Second, 90), word(3*time.Second, 90)}, 3 * time.Second, true},
		"the leader's clock was set back": {[]quota.Elapsed{leader(0, 90), word(time.Second, 90)}, time.Second, true},
		"no leader, most have it":         {[]quota.Elapsed{word(time.Second, 90), word(time.Second, 91), word(9*time.Second, 2)}, time.Second + slack, true},
		"no leader, few have it":          {[]quota.Elapsed{word(time.Second, 90), word(4*time.Second, 40), {}}, 4*time.Second + slack, true},
		"too few answer":                  {[]quota.Elapsed{word(time.Second, 90), {}, {}}, time.Second + slack, false},
		"the leader alone, and it lags":   {[]quota.Elapsed{leader(2*time.Second, 40), {}, {}}, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ok := quota.SinceEntry(c.words, 90, 3, slack)
			is.Equal(ok, c.ok)
			is.Equal(got, c.want)
		})
	}
}
