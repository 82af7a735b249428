package commander

const usage = `sassafraspass routes requests to pools of language-model engines and to the
plain services beside them.

Usage: sassafraspass COMMAND [flags]

  serve     run a daemon              -settings FILE
  publish   change the configuration  -log ADDRESS [-new-key WORKSPACE] [-withdraw DIGEST] [FILE]
  check     check files               [-settings FILE] [FILE ...]
  status    ask a daemon              -operators ADDRESS
  explain   find a request in logs    ID FILE ...
  demo      try it on this machine    [-listen ADDRESS]
  stand-in  run a stand-in            -kind log|prefill|decode|service -listen ADDRESS

  --version prints the version. "sassafraspass COMMAND -h" lists the flags.

Exit codes
  0  done
  1  failed
  2  wrong usage
  3  a file is invalid
  4  the publication was rejected
  5  the publication was accepted, but is not in force everywhere in time
  6  the daemon was removed from the epoch and should be started again
`

// Version is the version of the program.
const Version = "0.1.0"

// ExitCode tells a shell how the program ended.
type ExitCode int

// The exit codes.
const (
	ExitSuccess    ExitCode = 0
	ExitFailure    ExitCode = 1
	ExitUsage      ExitCode = 2
	ExitInvalid    ExitCode = 3
	ExitRejected   ExitCode = 4
	ExitNotInForce ExitCode = 5
	ExitRemoved    ExitCode = 6
)
