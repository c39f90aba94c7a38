// Package hickorymessage holds the messages between balancers, agents, callers of
// datagram services and hickoryctl. It is generated from the files flow, relay,
// status, request, member, transfer and discovery (*.schema.json) in schema/.
package hickorymessage
