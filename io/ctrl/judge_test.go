package ctrl

import (
	"testing"

	"github.com/matryer/is"
)

// A holder that waits for the end of its predecessor repeats its statement; each repeat
// would ask all witnesses and keepers again.
func TestOneJudgementAtATime(t *testing.T) {
	is := is.New(t)
	var j judgements
	is.True(j.begin("entry-1"))
	is.True(!j.begin("entry-1"))
	is.True(j.begin("entry-2"))
	j.end("entry-1")
	is.True(j.begin("entry-1"))
	is.True(!j.begin("entry-2"))
}
