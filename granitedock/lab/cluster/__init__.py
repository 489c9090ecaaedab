"""A test cluster: real gateway processes on loopback, with the emulators and faulty links round them."""
