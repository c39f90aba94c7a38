package hickoryctl

import (
	"fmt"

	"hickoryworks/schema/hickoryaudit"
)

// missingFigure is printed in place of a figure when one of two compared reports does
// not list the service.
const missingFigure = "-"

func shareText(share hickoryaudit.Share) string {
	return fmt.Sprintf("%d of %d (%.1f per million)", share.Count, share.Of, share.PerMillion)
}

func imbalanceText(imbalance hickoryaudit.Imbalance) string {
	return fmt.Sprintf("%.3f (%d over %.1f, %d upstreams)",
		imbalance.Ratio, imbalance.Largest, imbalance.Mean, imbalance.Upstreams)
}

// brokenOf formats the share of a service's flows that are broken. figures is nil when the
// report does not list the service.
func brokenOf(figures *hickoryaudit.ServiceFigures) string {
	if figures == nil {
		return missingFigure
	}
	return shareText(figures.Broken)
}

// refusedOf formats the share of a service's first packets that were refused. figures is
// nil when the report does not list the service.
func refusedOf(figures *hickoryaudit.ServiceFigures) string {
	if figures == nil {
		return missingFigure
	}
	return shareText(figures.Refused)
}

// imbalanceOf formats how unevenly a service's open flows are spread over its upstreams.
// figures is nil when the report does not list the service.
func imbalanceOf(figures *hickoryaudit.ServiceFigures) string {
	if figures == nil {
		return missingFigure
	}
	return imbalanceText(figures.Imbalance)
}
