// Command review2 plays the cases of the second review: it starts the nodes with the command of the
// deploy file, and stands in for engines, consumers and the operator.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	cases := map[string]func(rec *record, trouble bool) (bool, error){
		"foreign": foreignCheckIn, "leave": forgottenLeave, "identity": foreignIdentity,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(couldNot)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble %t", os.Args[1], trouble)
	isBroken, err := cases[os.Args[1]](rec, trouble)
	code := held
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		code = couldNot
	case isBroken:
		rec.log("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		code = broken
	default:
		rec.log("verdict: the rule held")
		fmt.Println("the rule held")
	}
	os.Exit(code)
}
