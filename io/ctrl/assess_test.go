package ctrl

import (
	"testing"

	"github.com/matryer/is"
)

// A holder whose predecessor's end is not assessed yet repeats its statement. Without
// the check each repeat would ask all witnesses and keepers again.
func TestOneAssessmentAtATime(t *testing.T) {
	is := is.New(t)
	var a assessments
	is.True(a.begin("entry-1"))
	is.True(!a.begin("entry-1"))
	is.True(a.begin("entry-2"))
	a.end("entry-1")
	is.True(a.begin("entry-1"))
	is.True(!a.begin("entry-2"))
}
