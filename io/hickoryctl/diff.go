package hickoryctl

import (
	"cmp"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/urfave/cli/v3"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/io/hickoryfile"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickoryid"
)

// sampledFlows is the number of random flows that movedShare looks up in both
// tables. The sampling error of the share is about half a percent.
const sampledFlows = 10_000

// serviceChange describes how one service differs between two documents.
type serviceChange struct {
	Team    hickoryid.TeamName    `json:"team"`
	Service hickoryid.ServiceName `json:"service"`
	// Change is "added", "removed" or "changed"; it is empty for a service that
	// does not differ.
	Change  string                 `json:"change"`
	Added   []hickoryid.UpstreamID `json:"addedUpstreams"`
	Removed []hickoryid.UpstreamID `json:"removedUpstreams"`
	// ZonesOut lists the zones that are out of service in the new document.
	ZonesOut []hickoryid.ZoneName `json:"zonesOut"`
	// MovedShare is the share of new flows, from 0 to 1, that get another first
	// candidate.
	MovedShare float64 `json:"movedShare"`
}

func (t *Tool) diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what a new document would change: services, zones, share of new flows",
		ArgsUsage: "OLD NEW",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 2 {
				return cli.Exit("diff takes two files", hickoryprogram.ExitInvalid)
			}
			changes, err := diffFiles(command.Args().Get(0), command.Args().Get(1))
			if err != nil {
				return hickoryprogram.InvalidInput(err)
			}
			return t.write(command, changes, func(w io.Writer) { printChanges(w, changes) })
		},
	}
}

// diffFiles compares the services of two files. Services that do not differ are
// left out of the result, which is sorted by service name.
func diffFiles(oldPath, newPath string) ([]serviceChange, error) {
	before, err := readServices(oldPath)
	if err != nil {
		return nil, err
	}
	after, err := readServices(newPath)
	if err != nil {
		return nil, err
	}
	changes := []serviceChange{}
	for name, service := range after {
		changes = append(changes, compareServices(before[name], service, name))
	}
	for name, service := range before {
		if _, kept := after[name]; !kept {
			changes = append(changes, compareServices(service, hickorymodel.Service{}, name))
		}
	}
	changes = slices.DeleteFunc(changes, func(c serviceChange) bool { return c.Change == "" })
	slices.SortFunc(changes, func(a, b serviceChange) int { return cmp.Compare(a.Service, b.Service) })
	return changes, nil
}

// readServices returns the services of a file by name. It returns an error when a
// section of the file has problems.
func readServices(path string) (map[hickoryid.ServiceName]hickorymodel.Service, error) {
	sections, err := readDocument(path)
	if err != nil {
		return nil, err
	}
	for _, section := range sections {
		if len(section.Problems) > 0 {
			return nil, cli.Exit(hickoryfile.FormatProblems(path, section.Problems), hickoryprogram.ExitInvalid)
		}
	}
	services, _ := hickoryconfig.Resolve(acceptedSections(sections), nil)
	byName := map[hickoryid.ServiceName]hickorymodel.Service{}
	for _, service := range services {
		byName[service.Name] = service
	}
	return byName, nil
}

// compareServices compares a service before and after a change of the document. An
// empty Service stands for one that a document does not list.
func compareServices(before, after hickorymodel.Service, name hickoryid.ServiceName) serviceChange {
	change := serviceChange{
		Team:     cmp.Or(after.Team, before.Team),
		Service:  name,
		Added:    missingFrom(before, after),
		Removed:  missingFrom(after, before),
		ZonesOut: append([]hickoryid.ZoneName{}, after.ExcludedZones...),
	}
	switch {
	case before.Name == "":
		change.Change = "added"
	case after.Name == "":
		change.Change = "removed"
	default:
		change.MovedShare = movedShare(before, after)
		if len(change.Added)+len(change.Removed) > 0 || change.MovedShare > 0 ||
			!slices.Equal(before.ExcludedZones, after.ExcludedZones) || before.Slots != after.Slots ||
			before.Connections != after.Connections || !slices.Equal(before.Addresses, after.Addresses) {
			change.Change = "changed"
		}
	}
	return change
}

// missingFrom returns the upstreams of other that service does not list.
func missingFrom(service, other hickorymodel.Service) []hickoryid.UpstreamID {
	missing := []hickoryid.UpstreamID{}
	for _, upstream := range other.Upstreams {
		isListed := slices.ContainsFunc(service.Upstreams, func(u hickorymodel.Upstream) bool { return u.ID == upstream.ID })
		if !isListed {
			missing = append(missing, upstream.ID)
		}
	}
	return missing
}

// movedShare returns the share of flows, from 0 to 1, whose first candidate differs
// between the tables of both documents. It looks up the same sample in both.
func movedShare(before, after hickorymodel.Service) float64 {
	after.Addresses = before.Addresses
	oldTable := hickorytable.NewBuilder(0).Build(0, []hickorymodel.Service{before})
	newTable := hickorytable.NewBuilder(0).Build(0, []hickorymodel.Service{after})
	random := rand.New(rand.NewPCG(1, 1))
	moved := 0
	for range sampledFlows {
		key := randomFlow(random, before.Addresses[0])
		var oldChoice, newChoice hickorytable.Choice
		oldTable.Choose(0, &key, &oldChoice)
		newTable.Choose(0, &key, &newChoice)
		if oldChoice.Candidates[0].Endpoint != newChoice.Candidates[0].Endpoint {
			moved++
		}
	}
	return float64(moved) / sampledFlows
}

// randomFlow returns a flow from a random IPv4 address and port to a service address.
func randomFlow(random *rand.Rand, address hickorymodel.ServiceAddress) hickorymodel.FlowKey {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], random.Uint32())
	source := netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(random.Uint32()))
	return hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(source),
		Destination: address.Socket,
		Protocol:    address.Protocol,
	}
}

func printChanges(w io.Writer, changes []serviceChange) {
	printf(w, "TEAM\tSERVICE\tCHANGE\tADDED\tREMOVED\tZONES OUT\tNEW FLOWS MOVED\n")
	for _, c := range changes {
		printf(w, "%s\t%s\t%s\t%d\t%d\t%v\t%.1f%%\n",
			c.Team, c.Service, c.Change, len(c.Added), len(c.Removed), c.ZonesOut, c.MovedShare*100)
	}
}
