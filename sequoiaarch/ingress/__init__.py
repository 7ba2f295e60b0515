"""Stateless HTTP ingress: route callers' requests to targets."""
