package hickoryagent

import (
	"context"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryexchange"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/schema/hickorysettings"
)

// addExchange adds the duty that runs requests if the upstream is a datagram
// server, which gets plain datagrams instead of encapsulated packets.
func (a *Agent) addExchange(server hickorymodel.Endpoint, drops *hickorymetric.Drops) error {
	if a.settings.Delivery != hickorysettings.DeliveryDatagram {
		return nil
	}
	if a.settings.ReturnEndpoint == nil {
		return errors.New("settings: returnEndpoint is required with delivery datagram")
	}
	returnEndpoint, err := hickorymodel.ParseEndpoint(*a.settings.ReturnEndpoint)
	if err != nil {
		return err
	}
	exchange := hickoryexchange.New(hickoryexchange.Config{
		Clock:            a.clock,
		Server:           server,
		ResponseEndpoint: returnEndpoint,
		Drops:            drops,
		Outgoing:         a.delivered,
		Limits:           a.limits,
		Answered:         a.answered,
	})
	a.group.Add("exchange", func(ctx context.Context) error { return exchange.Run(ctx, a.requests) })
	return nil
}
