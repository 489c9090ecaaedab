"""Encoding of messages as lines, and decoding."""

import pytest
from configuration_helpers import PLAN, change

from granitedock.configuration.errors import MalformedLineError
from granitedock.configuration.message_codec import decode, encode
from granitedock.configuration.messages import Current, InForce, Resend, VersionedChange


def test_decoding_an_encoded_message_returns_an_equal_one_and_malformed_lines_are_rejected():
    edit = change(0, [PLAN], ["old"]).edit
    for message in (
        Current("lab", 3, 2**127),
        VersionedChange(4, 17, 1.5, edit),
        InForce(4, 17),
        Resend(),
    ):
        assert decode(encode(message)) == message
    for line in (b"", b"1", b'{"type":"none"}', b'{"type":"in_force","version":1,"digest":"zz"}'):
        with pytest.raises(MalformedLineError):
            decode(line)
