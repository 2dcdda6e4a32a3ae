package poison

// Size returns the numbers of suspects and quarantines that are kept.
func (d *Detector) Size() (suspects, quarantines int) {
	return len(d.suspects), len(d.quarantines)
}
