"""Examples of small functions of the membership package: what each gives for what."""


def test_fleet_news_most_told():
    from granitedock.membership.news import most_told

    assert (most_told(2), most_told(40), most_told(1000)) == (10, 12, 15)


def test_fleet_settings_may_talk():
    from granitedock.membership.settings import may_talk

    assert (may_talk({"Specifics": {"MailPerS": 40}}), may_talk({"Specifics": {}}), may_talk({})) == (
        True,
        False,
        False,
    )


def test_fleet_settings_settings_number():
    from granitedock.membership.settings import settings_number

    assert settings_number({"Me": 1, "Balancers": 4}) == settings_number({"Balancers": 4, "Me": 2})


def test_fleet_wire_decode():
    from granitedock.membership.wire import Kind, Member, Message, State, decode, encode

    me = Member("a", "127.0.0.1:7946", 5, 0, State.ALIVE)
    assert decode("c", encode("c", Message(Kind.PING, me, 3, "b"))).word == "b"


def test_fleet_wire_is_address():
    from granitedock.membership.wire import is_address

    assert [is_address(text) for text in ("127.0.0.1:7946", "127.0.0.1", "localhost:1", "1.2.3.4:70000")] == [
        True,
        False,
        False,
        False,
    ]
