// Sassafraspass routes requests to pools of language-model engines and to the
// plain services beside them.
package main

import (
	"os"

	"sassafraspass.dev/sassafraspass/process/commander"
)

func main() {
	os.Exit(int(commander.New(os.Stdout, os.Stderr).Run(os.Args[1:])))
}
