"""TLS on non-blocking sockets."""

import ssl
from typing import Any

_WANT_ERRORS = (ssl.SSLWantReadError, ssl.SSLWantWriteError)


class TlsSocket(ssl.SSLSocket):
    """A non-blocking TLS connection that raises the same errors as a plain socket.

    The handshake takes place in the first calls of ``recv`` and ``send``.
    """

    def recv(self, buflen: int = 1024, flags: int = 0) -> bytes:
        """Receives decrypted bytes; raises BlockingIOError if the connection is not ready."""
        try:
            return super().recv(buflen, flags)
        except _WANT_ERRORS as error:
            raise BlockingIOError from error

    def send(self, data: Any, flags: int = 0) -> int:
        """Encrypts and sends bytes; raises BlockingIOError if the connection is not ready."""
        try:
            return super().send(data, flags)
        except _WANT_ERRORS as error:
            raise BlockingIOError from error


def create_server_context(certificate_file: str, key_file: str) -> ssl.SSLContext:
    """Returns a context whose sockets are ``TlsSocket``; raises OSError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.sslsocket_class = TlsSocket
    context.load_cert_chain(certificate_file, key_file)
    return context
