"""Example of the digest of a state."""


def test_model_canon_digest():
    from granitedock.model_checking.state_digest import state_digest

    a, b = [1, "x", {2: 3.0}], [1, "x", {2: 3.0}]
    assert (state_digest(a) == state_digest(b), state_digest(a) == state_digest([1, "x", {2: 3.5}])) == (
        True,
        False,
    )
