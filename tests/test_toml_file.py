"""Line numbers in the errors of a TOML file.

Guards against a line number of the wrong entry: two entries of an array of tables have the same key, and only
the index in the path distinguishes them.
"""


def test_line_of_a_key_in_the_second_entry_of_an_array_of_tables():
    from granitedock.toml_file import line_of

    text = "[fleet]\ngateways = 0\n[[clients]]\nrate = 1\n[[clients]]\nrate = -1\n"
    assert line_of(text, ("clients", 1, "rate")) == 6
