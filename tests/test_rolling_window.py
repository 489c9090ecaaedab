"""Example of a rolling window's sums and mean."""


def test_ring_ring():
    from granitedock.rolling_window import RollingWindow

    ring = RollingWindow(800.0)
    ring.add(0.0, 30.0, 1.0)
    ring.add(700.0, 50.0, 1.0)
    assert (ring.sums(700.0), ring.sums(1400.0), ring.sums(1600.0)) == ((80.0, 2.0), (50.0, 1.0), (0, 0))
    assert ring.mean(700.0, 2.0, 20.0) == 30.0
