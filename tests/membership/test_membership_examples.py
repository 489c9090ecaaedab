"""Examples of small functions of the membership package: arguments and results."""


def test_membership_broadcast_queue_transmit_limit():
    from granitedock.membership.broadcast_queue import transmit_limit

    assert (transmit_limit(2), transmit_limit(40), transmit_limit(1000)) == (10, 12, 15)


def test_membership_settings_membership_permitted():
    from granitedock.membership.settings import membership_permitted

    assert (
        membership_permitted({"Specifics": {"MailPerS": 40}}),
        membership_permitted({"Specifics": {}}),
        membership_permitted({}),
    ) == (
        True,
        False,
        False,
    )


def test_membership_settings_settings_checksum():
    from granitedock.membership.settings import settings_checksum

    assert settings_checksum({"Me": 1, "Balancers": 4}) == settings_checksum({"Balancers": 4, "Me": 2})


def test_membership_codec_decode():
    from granitedock.membership.codec import decode, encode
    from granitedock.membership.member import Member, MemberState
    from granitedock.membership.messages import Message, MessageKind

    sender = Member("a", "127.0.0.1:7946", 5, 0, MemberState.ALIVE)
    assert decode("c", encode("c", Message(MessageKind.PING, sender, 3, "b"))).word == "b"


def test_membership_codec_is_address():
    from granitedock.membership.codec import is_address

    assert [is_address(text) for text in ("127.0.0.1:7946", "127.0.0.1", "localhost:1", "1.2.3.4:70000")] == [
        True,
        False,
        False,
        False,
    ]
