// Package trial compares budget policies in a seeded event simulation. The
// escrow policy runs the real state machines of holders, witnesses, meters and
// the ledger. A run has several places with entries and agents, customers with
// skewed demand, a long network partition with top-ups during it, and entries
// that die and restart.
//
// # Usage
//
//	res := trial.Run(trial.DefaultSetup(), "escrow", trial.NewEscrow, seed)
//	fmt.Println(res.Overspend, res.FalseFleetRate())
package trial
