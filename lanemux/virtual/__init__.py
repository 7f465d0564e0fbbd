"""Deterministic simulation: runs the real balancer code on a virtual clock, event loop, network and disk."""
