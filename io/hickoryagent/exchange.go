package hickoryagent

import (
	"context"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryexchange"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/schema/hickorysettings"
)

// addExchange adds the duty that runs requests, for upstreams that are plain
// datagram servers.
func (a *Agent) addExchange(server hickorymodel.Endpoint, drops *hickorymetric.Drops) error {
	if a.settings.Delivery != hickorysettings.DeliveryDatagram {
		return nil
	}
	if a.settings.ReturnEndpoint == nil {
		return errors.New("settings: returnEndpoint is required with delivery datagram")
	}
	back, err := hickorymodel.ParseEndpoint(*a.settings.ReturnEndpoint)
	if err != nil {
		return err
	}
	exchange := hickoryexchange.New(hickoryexchange.Config{
		Clock:            a.clock,
		Server:           server,
		ResponseEndpoint: back,
		Drops:            drops,
		Outgoing:         a.delivered,
		Limits:           a.limits,
		Answered:         a.answered,
	})
	a.group.Add("exchange", func(ctx context.Context) error { return exchange.Run(ctx, a.requests) })
	return nil
}
