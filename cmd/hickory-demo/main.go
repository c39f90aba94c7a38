// Command hickory-demo runs balancers, agents and stand-ins (test doubles) in one process
// and reports how callers and upstreams are affected by changes under load.
package main

import (
	"hickoryworks/io/hickorydemo"
	"hickoryworks/io/hickoryprogram"
)

func main() {
	hickoryprogram.Main(hickorydemo.Command())
}
