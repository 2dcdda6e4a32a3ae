package front

// StopWaiting rejects what waits, as Close does first.
func (f *Front) StopWaiting() { f.stopWaiting() }
