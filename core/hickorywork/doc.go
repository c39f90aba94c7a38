// Package hickorywork estimates what requests cost one upstream and how much work it
// still has to do. It sees when requests are delivered and when their answers begin,
// tells work from waiting by the upstream's number of slots, and keeps the times of work
// as decaying distributions.
package hickorywork
