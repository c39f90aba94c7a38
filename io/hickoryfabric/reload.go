package hickoryfabric

import (
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickorysettings"
)

// Reload takes settings that were read again. Seeds have effect at once; other
// keys belong to open sockets and have effect at the next start.
func (b *Balancer) Reload(settings hickorysettings.FabricBalancer, err error) {
	if err != nil {
		b.logger.LogError(hickoryevent.SettingsRejected, err)
		return
	}
	b.logger.Log(hickoryevent.SettingsReloaded, hickorylog.Fields{"seeds": len(settings.Seeds)})
	b.rings.states.Put(hickoryring.StateCall{Seeds: settings.Seeds})
}

// Reload takes settings that were read again. They have effect at the next
// start, since all keys belong to open sockets or to the upstream.
func (a *Agent) Reload(settings hickorysettings.FabricAgent, err error) {
	if err != nil {
		a.logger.LogError(hickoryevent.SettingsRejected, err)
		return
	}
	a.logger.Log(hickoryevent.SettingsReloaded, hickorylog.Fields{"service": string(settings.Service)})
}
