"""Records for benchmarks and the demo: organisations with known API keys, and class routes."""

from __future__ import annotations

import hashlib

from burdockquay_state import OrganisationRecord, RouteRecord

SALT = "00112233445566778899aabbccddeeff"
CHAT_PATH = "/v1/chat/completions"


def api_key(organisation: str) -> str:
    """Return the API key of a benchmark organisation."""
    return f"{organisation}.secret-of-{organisation}"


def organisation_record(name: str, **fields: float) -> OrganisationRecord:
    """Return the record of an organisation whose key is :func:`api_key`."""
    digest = hashlib.sha256(bytes.fromhex(SALT) + api_key(name).encode()).hexdigest()
    return OrganisationRecord(name=name, key_salt=SALT, key_digests=[digest], **fields)


def class_route(class_name: str, group: str) -> RouteRecord:
    """Return the route for chat requests whose service class header names the class."""
    return RouteRecord(
        name=f"chat-{class_name}",
        class_name=class_name,
        group=group,
        path_prefix=CHAT_PATH,
        service_class=class_name,
    )
