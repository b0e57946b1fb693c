"""Stand-ins for external components, used by tests and benchmarks only."""
