package hickoryreport

import (
	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryaudit"
)

// Change compares one service in two reports.
type Change struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	// Before and After are nil when a report lacks the service.
	Before *hickoryaudit.ServiceFigures `json:"before"`
	After  *hickoryaudit.ServiceFigures `json:"after"`
}

// Diff compares two reports service by service. It returns an error when their
// definition versions differ, because their figures are not comparable then.
func Diff(before, after *hickoryaudit.Report) ([]Change, error) {
	if before.DefinitionVersion != after.DefinitionVersion {
		return nil, errors.Errorf("reports of definition versions %d and %d are not comparable",
			before.DefinitionVersion, after.DefinitionVersion)
	}
	changes := []Change{}
	for i := range before.Services {
		old := &before.Services[i]
		changes = append(changes, Change{
			Team:    string(old.Team),
			Service: string(old.Service),
			Before:  old,
			After:   findService(after, old),
		})
	}
	for i := range after.Services {
		added := &after.Services[i]
		if findService(before, added) == nil {
			changes = append(changes, Change{Team: string(added.Team), Service: string(added.Service), After: added})
		}
	}
	return changes, nil
}

func findService(report *hickoryaudit.Report, wanted *hickoryaudit.ServiceFigures) *hickoryaudit.ServiceFigures {
	for i := range report.Services {
		if report.Services[i].Team == wanted.Team && report.Services[i].Service == wanted.Service {
			return &report.Services[i]
		}
	}
	return nil
}
