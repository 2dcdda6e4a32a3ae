package quota

import (
	"math"
	"time"
)

// Opening is how much may be spent beyond the start of an allowance when no answer
// has come for a time: the larger one of a share of what lies between start and
// mark, which may be above 1, and a share of what lies between start and grant.
type Opening struct {
	Mark  float64 `cbor:"1,keyasint"`
	Grant float64 `cbor:"2,keyasint"`
}

// Opening is what has opened when no answer has come for a time.
func (o Options) Opening(silent time.Duration) Opening {
	return Opening{
		Mark:  max(float64(silent-o.OpenAfter)/float64(o.CutOff-o.OpenAfter), 0),
		Grant: min(max(float64(silent-o.CutOff)/float64(o.GrantOpens), 0), 1),
	}
}

// limit is what may be spent in all of an allowance.
func (o Opening) limit(start, mark, granted Tokens) Tokens {
	more := max(o.Mark*float64(mark-start), o.Grant*float64(granted-start))
	if more >= float64(granted-start) {
		return granted
	}
	return min(start+Tokens(math.Ceil(more)), granted)
}
