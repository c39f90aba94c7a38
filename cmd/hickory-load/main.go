// Command hickory-load runs balancers and agents as processes on loopback, puts load on
// them and measures them.
package main

import (
	"hickoryworks/io/hickoryload"
	"hickoryworks/io/hickoryprogram"
)

func main() {
	hickoryprogram.Main(hickoryload.Command())
}
