// Command gypsumctl is the operators' command line.
package main

import (
	"os"

	"gypsumvale/internal/operator"
	"gypsumvale/internal/program"
)

func main() {
	program.Main(operator.Command(os.Stdout))
}
