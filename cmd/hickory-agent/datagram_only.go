//go:build datagramonly

package main

import (
	"context"

	"github.com/pkg/errors"

	"hickoryworks/io/hickoryprogram"
)

// runEncapsulated refuses settings of other fabrics: this build leaves out what
// a datagram fabric does not need, so that it starts quickly.
func runEncapsulated(_ context.Context, path string) error {
	return hickoryprogram.InvalidInput(errors.Errorf("settings %s name no fabric, and this build runs on a datagram fabric only", path))
}
