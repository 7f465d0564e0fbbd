"""The balancer's real code on a virtual clock: an event loop, a network and a disk that a seed drives."""
