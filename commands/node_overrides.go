package commands

import (
	"flag"
	"strconv"
)

// nodeOverrides are the flags of a node that replace fields of its settings file. They carry
// what a deployment hands over only in part of the installations, so that the template of the
// file needs only what every installation has.
type nodeOverrides struct {
	coldOverage, coldBurst optionalFloat
}

func (o *nodeOverrides) register(fs *flag.FlagSet) {
	fs.Var(&o.coldOverage, "cold-overage", "replaces cold_overage of the settings file; without effect if it is empty")
	fs.Var(&o.coldBurst, "cold-burst", "replaces cold_burst of the settings file; without effect if it is empty")
}

func (o *nodeOverrides) apply(s *NodeSettings) {
	o.coldOverage.replace(&s.ColdOverage)
	o.coldBurst.replace(&s.ColdBurst)
}

// optionalFloat is the value of a flag that may be given without a value.
type optionalFloat struct {
	value float64
	set   bool
}

// String implements flag.Value.
func (f *optionalFloat) String() string {
	if !f.set {
		return ""
	}
	return strconv.FormatFloat(f.value, 'g', -1, 64)
}

// Set implements flag.Value.
func (f *optionalFloat) Set(text string) error {
	if text == "" {
		*f = optionalFloat{}
		return nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return err
	}
	*f = optionalFloat{value: value, set: true}
	return nil
}

// replace sets dst if the flag has a value.
func (f *optionalFloat) replace(dst *float64) {
	if f.set {
		*dst = f.value
	}
}
