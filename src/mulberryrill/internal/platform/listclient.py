"""Client of the platform's list of entry instances, targets and stores."""

import json
from collections.abc import Mapping
from urllib.parse import quote

from ...errors import HttpError, PlatformError
from ..httpclient import HttpClient, HttpResponse
from ..schema.wire_pb2 import Member, MemberKind, MemberState

LIST_TIMEOUT_S = 3.0
HTTP_NOT_MODIFIED = 304


class ListClient:
    """One connection to the list. Not thread-safe: each task owns its client."""

    def __init__(self, url: str, ca_file: str = "") -> None:
        self._url = url.rstrip("/")
        self._http = HttpClient(ca_file)
        # The list is long and rarely changes, so an equal response is not parsed again.
        self._last_body = b""
        self._last_etag = ""
        self._last_members: tuple[Member, ...] = ()

    def close(self) -> None:
        """Closes the connection."""
        self._http.close()

    @property
    def list_bytes(self) -> int:
        """Size of the last list in bytes."""
        return len(self._last_body)

    def read_members(self) -> tuple[Member, ...]:
        """Returns all usable members; raises PlatformError. Malformed members are left out.

        While the list stays the same, it is not transferred again if the platform supports
        conditional requests (RFC 9110), and the result is the same object.
        """
        condition_headers = {"If-None-Match": self._last_etag} if self._last_etag else {}
        response = self._send("GET", f"{self._url}/v1/members", headers=condition_headers)
        if response.status == HTTP_NOT_MODIFIED or response.body == self._last_body:
            return self._last_members
        try:
            body = response.parse_json()
        except HttpError as error:
            raise PlatformError(str(error)) from error
        if not isinstance(body, dict) or not isinstance(body.get("members"), list):
            raise PlatformError("the list's answer has no members")
        parsed = (parse_member(item) for item in body["members"])
        self._last_members = tuple(member for member in parsed if member is not None)
        self._last_body = response.body
        self._last_etag = response.headers.get("etag", "")
        return self._last_members

    def register(self, member: Member) -> None:
        """Registers a member or renews its registration; raises PlatformError."""
        self._send("PUT", self._build_member_url(member.id), encode_member(member))

    def remove(self, member_id: str) -> None:
        """Removes a member; raises PlatformError."""
        self._send("DELETE", self._build_member_url(member_id))

    def _build_member_url(self, member_id: str) -> str:
        return f"{self._url}/v1/members/{quote(member_id, safe='')}"

    def _send(
        self, method: str, url: str, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> HttpResponse:
        content_headers = {"Content-Type": "application/json"} if body else {}
        all_headers = {**content_headers, **(headers or {})}
        try:
            response = self._http.send(method, url, body, all_headers, timeout_s=LIST_TIMEOUT_S)
        except HttpError as error:
            raise PlatformError(f"list request failed: {error}") from error
        if response.status // 100 != 2 and response.status != HTTP_NOT_MODIFIED:
            raise PlatformError(f"list refused {method} with status {response.status}")
        return response


def encode_member(member: Member) -> bytes:
    """Returns the JSON body that registers a member."""
    return json.dumps(
        {
            "id": member.id,
            "kind": MemberKind.Name(member.kind),
            "data_centre": member.data_centre,
            "address": member.address,
            "pool": member.pool,
            "state": MemberState.Name(member.state),
        }
    ).encode()


def parse_member(item: object) -> Member | None:
    """Reads one listed member; None if a field is missing, of a wrong type or unknown."""
    if not isinstance(item, dict):
        return None
    try:
        return Member(
            id=item["id"],
            kind=MemberKind.Value(item["kind"]),
            data_centre=item["data_centre"],
            address=item.get("address") or "",
            pool=item.get("pool") or "",
            state=MemberState.Value(item.get("state") or "live"),
        )
    except (KeyError, TypeError, ValueError):
        return None
