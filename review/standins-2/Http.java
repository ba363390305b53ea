import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A minimal HTTP/1.1 server and client over blocking sockets, for the stand-ins of the review. */
final class Http {

    private Http() {}

    /** A request or the response to one. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        /** Whether the body ended as its framing says. */
        boolean complete = true;

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers one request; runs on the thread of its connection. */
    interface Handler {
        void handle(Message request, Connection connection) throws IOException;
    }

    /** A connection that a server has accepted. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            this.out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
        }

        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + body.length + "\r\n\r\n");
            synchronized (this) {
                out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // The connection is gone in any case.
            }
        }
    }

    /** A server on a free port of the loopback address. */
    static final class Server {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
        private volatile boolean stopped;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
            start("accept", this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            while (!stopped) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Connection connection = new Connection(socket);
                    connections.add(connection);
                    start("connection", () -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Connection connection) {
            try {
                while (true) {
                    Message request = read(connection.in, false);
                    if (request == null) {
                        return;
                    }
                    handler.handle(request, connection);
                }
            } catch (IOException e) {
                // The peer, or the stand-in, has closed the connection.
            } finally {
                connections.remove(connection);
                connection.close();
            }
        }

        /** Closes the port and all connections, as the end of a process does. */
        void stop() {
            stopped = true;
            try {
                listener.close();
            } catch (IOException e) {
                // The port is closed in any case.
            }
            connections.forEach(Connection::close);
        }
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException();
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message; returns null if the connection was closed between two messages. */
    static Message read(InputStream in, boolean response) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Message message = new Message();
        message.startLine = start;
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        String length = message.header("content-length");
        String coding = message.header("transfer-encoding");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (coding != null) {
                for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                    copy(in, body, size);
                    readLine(in);
                }
                readLine(in);
            } else if (length != null) {
                copy(in, body, Integer.parseInt(length));
            } else if (response) {
                in.transferTo(body);
            }
        } catch (EOFException e) {
            message.complete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException();
        }
        return Integer.parseInt(line.trim(), 16);
    }

    private static void copy(InputStream in, OutputStream out, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        out.write(bytes);
        if (bytes.length < count) {
            throw new EOFException();
        }
    }

    /** Connects to an address on loopback. */
    static Connection connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1))),
                timeoutMillis);
        socket.setSoTimeout(timeoutMillis);
        return new Connection(socket);
    }

    /** Sends a request on a connection and returns the response, null if there is none. */
    static Message call(
            Connection connection, String startLine, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(startLine + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        connection.out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        connection.out.write(body);
        connection.out.flush();
        return read(connection.in, true);
    }
}
