"""Messages as lines, and back."""

import pytest
from configuration_helpers import PLAN, change

from granitedock.configuration.errors import MalformedLineError
from granitedock.configuration.message_codec import decode, encode
from granitedock.configuration.messages import Current, InForce, Resend, VersionedChange


def test_messages_come_back_as_they_were():
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
