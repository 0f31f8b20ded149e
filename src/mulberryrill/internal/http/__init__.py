"""HTTP/1.1 on the event loop: messages, inbound connections, listeners and servers."""
