"""A test cluster: real gateway processes on loopback, with emulators and proxies that impair their links."""
