"""The paths of a control process's HTTP port.

| request | answer |
| --- | --- |
| `POST /configuration/watch?name&role&cluster&after&digest` | lines of `message_codec.py`, without end |
| `POST /configuration/changes` | 200 with version and digest; 409 another base; 400 a fault; 421 a replica |
| `GET /configuration/document` | the whole document |
| `GET /configuration/status` | version, followers, counters |

An error is `{"errors": [...]}`, and ends its own connection only.
"""

WATCH = "/configuration/watch"
CHANGES = "/configuration/changes"
DOCUMENT = "/configuration/document"
STATUS = "/configuration/status"
