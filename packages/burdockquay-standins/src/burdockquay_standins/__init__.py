"""Stand-ins of engines, plain services and the platform, for tests and benchmarks."""
