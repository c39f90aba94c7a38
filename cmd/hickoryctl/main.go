// Command hickoryctl is the tool of the operators. It shows the state of the instances
// and checks the document.
package main

import (
	"os"

	"hickoryworks/io/hickoryctl"
	"hickoryworks/io/hickoryprogram"
)

func main() {
	hickoryprogram.Main(hickoryctl.New(os.Stdout).Command())
}
