"""Paths of a control process's HTTP port.

| request | response |
| --- | --- |
| `POST /configuration/watch?name&role&cluster&after&digest` | endless lines of `message_codec.py` |
| `POST /configuration/changes` | version and digest; else 400, 409, 413, 421 or 500 |
| `GET /configuration/document` | the whole document |
| `GET /configuration/status` | version, followers, counters |

A change is answered with 400 if it is invalid, 409 if its base is not the current version, 413 if it is too
large, 421 if the process is a replica, and 500 if the store cannot be written. A watch is answered with 400
if its query is invalid and 409 if it is of another cluster. An error response is `{"errors": [...]}`; it
closes only its own connection.
"""

WATCH = "/configuration/watch"
CHANGES = "/configuration/changes"
DOCUMENT = "/configuration/document"
STATUS = "/configuration/status"
