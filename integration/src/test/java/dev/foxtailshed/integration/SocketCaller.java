package dev.foxtailshed.integration;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An HTTP caller on a plain socket that can disconnect at any moment. Not thread-safe. */
final class SocketCaller implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 40_000;

    private final Socket socket;

    SocketCaller(InetSocketAddress address) throws IOException {
        socket = new Socket();
        socket.connect(address, TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
    }

    /** Sends a POST request and returns without waiting for the response. */
    void post(String path, String body) throws IOException {
        post(path, "", body);
    }

    /**
     * Sends a POST request with additional header lines, each ending in CRLF, and returns without
     * waiting for the response.
     */
    void post(String path, String headerLines, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head =
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n"
                        + "Content-Length: "
                        + bytes.length
                        + "\r\n"
                        + headerLines
                        + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /**
     * Sends a GET request with one additional header line, without line end, and returns without
     * waiting for the response.
     */
    void get(String path, String header) throws IOException {
        String head = "GET " + path + " HTTP/1.1\r\nHost: entry\r\n" + header + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    /** Returns all bytes up to the end of the connection, including status line and chunk sizes. */
    String readToEnd() throws IOException {
        return new String(input().readAllBytes(), StandardCharsets.US_ASCII);
    }

    /** Returns the raw bytes of the connection, including status line and chunk sizes. */
    InputStream input() throws IOException {
        return socket.getInputStream();
    }

    /** Closes the connection at once, even while a request is in flight. */
    void disconnect() throws IOException {
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
