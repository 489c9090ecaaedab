"""Paths of a control process's HTTP port.

| request | response |
| --- | --- |
| `POST /configuration/watch?name&role&cluster&after&digest` | endless lines of `message_codec.py` |
| `POST /configuration/changes` | 200 version and digest; 400 a fault; 409 another base; 421 a replica |
| `GET /configuration/document` | the whole document |
| `GET /configuration/status` | version, followers, counters |

An error response is `{"errors": [...]}`; it closes only its own connection.
"""

WATCH = "/configuration/watch"
CHANGES = "/configuration/changes"
DOCUMENT = "/configuration/document"
STATUS = "/configuration/status"
