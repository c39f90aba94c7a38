package hickoryfabric

import (
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickorysettings"
)

// Reload applies settings that were read again. New seeds take effect at once; all
// other settings take effect at the next start, since they belong to open sockets.
// Err is the error of reading the settings; the current ones then stay in use.
func (b *Balancer) Reload(settings hickorysettings.FabricBalancer, err error) {
	if err != nil {
		b.logger.LogError(hickoryevent.SettingsRejected, err)
		return
	}
	b.logger.Log(hickoryevent.SettingsReloaded, hickorylog.Fields{"seeds": len(settings.Seeds)})
	b.rings.stateCalls.Put(hickoryring.StateCall{Seeds: settings.Seeds})
}

// Reload logs that settings were read again, or the error of reading them. They take
// effect at the next start, since all of them belong to open sockets or to the
// upstream.
func (a *Agent) Reload(settings hickorysettings.FabricAgent, err error) {
	if err != nil {
		a.logger.LogError(hickoryevent.SettingsRejected, err)
		return
	}
	a.logger.Log(hickoryevent.SettingsReloaded, hickorylog.Fields{"service": string(settings.Service)})
}
