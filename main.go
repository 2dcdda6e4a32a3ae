// Command dotterelgap routes requests to model engines and business services
// and manages prepaid token budgets. See README.md.
package main

import (
	"os"

	"dotterelgap/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
