"""Example of the line at which a key of a TOML file stands."""


def test_tomlfile_line_of():
    from granitedock.toml_file import line_of

    text = "[fleet]\ngateways = 0\n[[clients]]\nrate = 1\n[[clients]]\nrate = -1\n"
    assert line_of(text, ("clients", 1, "rate")) == 6
