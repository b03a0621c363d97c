"""Starts fleets of the real programs with stand-ins on loopback, and ends them."""
