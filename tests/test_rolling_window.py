"""Sums and mean of a rolling window.

Guards against expired buckets that still count: the window spans 800 ms, so a pair added at 0 ms must be gone
at 1,400 ms, and one added at 700 ms at 1,600 ms.
"""


def test_pairs_expire_with_their_bucket_and_the_mean_includes_its_prior():
    from granitedock.rolling_window import RollingWindow

    window = RollingWindow(800.0)
    window.add(0.0, 30.0, 1.0)
    window.add(700.0, 50.0, 1.0)
    assert (window.sums(700.0), window.sums(1400.0), window.sums(1600.0)) == (
        (80.0, 2.0),
        (50.0, 1.0),
        (0, 0),
    )
    assert window.mean(700.0, 2.0, 20.0) == 30.0
