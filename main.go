// Sassafraspass routes requests to pools of language-model engines and to plain
// HTTP services.
package main

import (
	"os"

	"sassafraspass.dev/sassafraspass/process/commander"
)

func main() {
	os.Exit(int(commander.New(os.Stdout, os.Stderr).Run(os.Args[1:])))
}
