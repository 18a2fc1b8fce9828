"""An upstream that breaks off answers, over plain sockets."""
import socket
import struct
import threading
import time
import urllib.parse

RECEIVE_BUFFER_BYTES = 16 << 10
HEALTH_PATH = "/health"


def _head(framing, length, request_id):
    version = "HTTP/1.0" if framing == "http-1.0" else "HTTP/1.1"
    fields = {"none": "", "http-1.0": "", "close": "Connection: close\r\n",
              "gzip": "Transfer-Encoding: gzip\r\n",
              "length": f"Content-Length: {length}\r\n",
              "chunked": "Transfer-Encoding: chunked\r\n"}[framing]
    return (f"{version} 200 OK\r\nX-Pollenrudder-Request-Id: {request_id}\r\n"
            f"X-Pollenrudder-Server-Stamp: 1.2.3\r\n{fields}\r\n").encode()


class RawUpstream:
    """Serves requests on threads. Those with a query are answered before their
    body is read, by its values:

    framing  of the answer: none, http-1.0, close, gzip, length or chunked
    bytes    of its body that are sent; "length" announces 1,000 more
    read     bytes of the request's body that are read before the end
    hold-ms  pause before the end
    id       of the request that the answer names, if not its own
    end      reset; close, which resets if bytes are unread; or shutdown, after
             which the rest of the request's body is read
    """

    def __init__(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                  RECEIVE_BUFFER_BYTES)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(accepted,),
                             daemon=True).start()

    def _serve(self, connection):
        buffered = b""
        try:
            with connection:
                while True:
                    while b"\r\n\r\n" not in buffered:
                        received = connection.recv(1 << 16)
                        if not received:
                            return
                        buffered += received
                    head, _, buffered = buffered.partition(b"\r\n\r\n")
                    buffered = self._answer(connection, head, buffered)
                    if buffered is None:
                        return
        except OSError:
            pass  # The daemon closes connections, too.

    def _answer(self, connection, head, buffered):
        """Returns what was received behind the request, or None at the end."""
        lines = head.decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        request_id = fields.get("x-pollenrudder-request-id", "")
        missing = int(fields.get("content-length", 0)) - len(buffered)
        url = urllib.parse.urlsplit(lines[0].split()[1])
        if not url.query:
            while missing > 0:
                missing -= len(connection.recv(1 << 16))
            connection.sendall(_head("length", 0, request_id))
            return b""
        query = dict(urllib.parse.parse_qsl(url.query))
        size = int(query["bytes"])
        framing = query["framing"]
        connection.sendall(_head(framing, size + 1000,
                                 query.get("id", request_id)))
        connection.sendall((b"%x\r\n" % size if framing == "chunked" else b"")
                           + bytes(size))
        to_read = min(int(query["read"]), missing)
        while to_read > 0:
            received = len(connection.recv(1 << 16))
            to_read -= received
            missing -= received
        time.sleep(int(query["hold-ms"]) / 1000)
        if query["end"] == "shutdown":
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(1 << 16):
                pass
        elif query["end"] == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
        return None
