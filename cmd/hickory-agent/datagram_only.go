//go:build datagramonly

package main

import (
	"context"

	"github.com/pkg/errors"

	"hickoryworks/io/hickoryprogram"
)

// runEncapsulated returns an error for settings of the encapsulated fabric. A build with
// the tag datagramonly leaves out the packages that only the encapsulated fabric needs,
// so that the process starts quickly.
func runEncapsulated(_ context.Context, path string) error {
	return hickoryprogram.InvalidInput(errors.Errorf("settings %s have no key fabric, but this build supports the datagram fabric only", path))
}
