// Package commands implements the command line, with one file per subcommand.
//
// # Usage
//
//	os.Exit(commands.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package commands
