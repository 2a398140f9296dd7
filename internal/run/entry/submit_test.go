// This file defines the test of submissions that the leader refuses.

package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"sycamoredeck.example/internal/schema/wire"
)

// Guards against telling a caller that a job was refused while an earlier attempt may still arrive
// and be accepted.
func TestRefusalAfterUnansweredAttemptIsUnknown(t *testing.T) {
	for answer := range wire.WorkAnswer_name {
		a := wire.WorkAnswer(answer)
		assert.Assert(t, !refusalUncertain(a, false), a)
		assert.Equal(t, refusalUncertain(a, true), a == wire.WorkAnswer_WORK_ANSWER_OVERLOADED, a)
	}
}
