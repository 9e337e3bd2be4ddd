// Command simulator-adapter connects package decide to a simulator. It reads batches of
// events from standard input and writes the resulting actions of each batch to standard
// output. It makes no decisions itself.
package main

import (
	"bufio"
	"fmt"
	"os"
)

func main() {
	input := bufio.NewReaderSize(os.Stdin, 1<<20)
	output := bufio.NewWriterSize(os.Stdout, 1<<20)
	if err := newHost(input, output).run(); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}
