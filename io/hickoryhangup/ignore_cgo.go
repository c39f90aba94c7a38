//go:build cgo

package hickoryhangup

import "C" // links ignore.c
