"""Digests of equal and of different values.

Guards against a digest that depends on the identity of objects, with which a search never ends, and against
one that ignores a value, with which a search skips states.
"""


def test_equal_values_have_equal_digests_and_different_values_do_not():
    from granitedock.model_checking.state_digest import state_digest

    a, b = [1, "x", {2: 3.0}], [1, "x", {2: 3.0}]
    assert (state_digest(a) == state_digest(b), state_digest(a) == state_digest([1, "x", {2: 3.5}])) == (
        True,
        False,
    )
