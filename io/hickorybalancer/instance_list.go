package hickorybalancer

import (
	"hickoryworks/core/hickorymember"
	"hickoryworks/schema/hickoryplatform"
)

// listedBalancers returns the balancers of the instance list that are not leaving.
func listedBalancers(instances hickoryplatform.Instances) []hickorymember.Balancer {
	var balancers []hickorymember.Balancer
	for _, instance := range instances.Instances {
		if instance.Role != hickoryplatform.RoleBalancer || instance.State != hickoryplatform.InstanceStateLive {
			continue
		}
		balancers = append(balancers, hickorymember.Balancer{
			ID:       instance.ID,
			Zone:     instance.Zone,
			Region:   instance.Region,
			Endpoint: instance.ControlEndpoint,
		})
	}
	return balancers
}
