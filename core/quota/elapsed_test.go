package quota_test

import (
	"testing"
	"time"

	"dotterelgap/core/quota"

	"github.com/matryer/is"
)

func TestSinceEntry(t *testing.T) {
	const slack = 500 * time.Millisecond
	follower := func(since time.Duration, index uint64) quota.Elapsed {
		return quota.Elapsed{Known: true, Since: since, Index: index}
	}
	leader := func(since time.Duration, index uint64) quota.Elapsed {
		return quota.Elapsed{Known: true, Since: since, Index: index, Leader: true}
	}
	for name, c := range map[string]struct {
		reports []quota.Elapsed
		want    time.Duration
		ok      bool
	}{
		"one lags by seconds": {[]quota.Elapsed{leader(time.Second, 90), follower(4*time.Second, 40), follower(time.Second, 90)}, time.Second, true},
		"the leader wrote more while it was partitioned": {
			[]quota.Elapsed{leader(100*time.Millisecond, 99), follower(3*time.Second, 90), follower(3*time.Second, 90)}, 3 * time.Second, true},
		"the clock of the leader was set back": {[]quota.Elapsed{leader(0, 90), follower(time.Second, 90)}, time.Second, true},
		"no leader, a majority has it":         {[]quota.Elapsed{follower(time.Second, 90), follower(time.Second, 91), follower(9*time.Second, 2)}, time.Second + slack, true},
		"no leader, a minority has it":         {[]quota.Elapsed{follower(time.Second, 90), follower(4*time.Second, 40), {}}, 4*time.Second + slack, true},
		"no majority reports":                  {[]quota.Elapsed{follower(time.Second, 90), {}, {}}, time.Second + slack, false},
		"only the leader reports, and it lags": {[]quota.Elapsed{leader(2*time.Second, 40), {}, {}}, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ok := quota.SinceEntry(c.reports, 90, 3, slack)
			is.Equal(ok, c.ok)
			is.Equal(got, c.want)
		})
	}
}
