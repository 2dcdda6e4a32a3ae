package node

const (
	// connMemory is what an idle connection of a caller takes, in bytes: a goroutine and the buffers of
	// net/http.
	connMemory = 20 << 10
	// connShare is the share of the memory for connections of callers.
	connShare = 0.3
)

// mostCallers returns how many connections callers may have, of a number that the descriptors bear and
// a memory in bytes; 0 is no limit for either.
func mostCallers(descriptors int, memory int64) int {
	most := int(connShare * float64(memory) / connMemory)
	switch {
	case memory == 0:
		return descriptors
	case descriptors == 0:
		return max(most, 1)
	}
	return max(min(descriptors, most), 1)
}
