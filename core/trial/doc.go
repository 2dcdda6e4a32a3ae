// Package trial compares budget policies by a small seeded loop over the pure
// machines: places with entries and agents, customers with skewed demand, a long
// cut with top-ups in it, and entries that die.
//
// # Usage
//
//	res := trial.Run(trial.DefaultSetup(), trial.NewEscrow, seed)
//	fmt.Println(res.Overspend, res.FalseFleetRate())
package trial
