package quota

import (
	"math"
	"time"
)

// Opening says how much may be spent beyond the initial limit of an allocation when no
// reply has come for a time. It is the larger of two amounts: the share Mark of the
// tokens between the initial limit and the cutoff limit, which may exceed 1, and the
// share Grant of the tokens between the initial limit and the grant.
type Opening struct {
	Mark  float64 `cbor:"1,keyasint"`
	Grant float64 `cbor:"2,keyasint"`
}

// Opening returns what has opened when no reply has come for the elapsed time.
func (o Options) Opening(elapsed time.Duration) Opening {
	return Opening{
		Mark:  max(float64(elapsed-o.OpenAfter)/float64(o.CutOff-o.OpenAfter), 0),
		Grant: min(max(float64(elapsed-o.CutOff)/float64(o.GrantOpens), 0), 1),
	}
}

// limit returns what may be spent of an allocation in total.
func (o Opening) limit(initial, cutoff, granted Tokens) Tokens {
	more := max(o.Mark*float64(cutoff-initial), o.Grant*float64(granted-initial))
	if more >= float64(granted-initial) {
		return granted
	}
	return min(initial+Tokens(math.Ceil(more)), granted)
}
