"""HTTP/1.1 on the event loop: messages, callers' connections, listeners and servers."""
