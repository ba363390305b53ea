import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over blocking sockets, as far as the stand-ins need it. */
final class Wire {

    private Wire() {}

    /** A request or a response. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete = true;

        String header(String name, String fallback) {
            return headers.getOrDefault(name.toLowerCase(), fallback);
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

    /** Serves one connection. */
    interface Handler {
        void serve(Connection connection) throws Exception;
    }

    /** One connection. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        static Connection open(int port, int readTimeoutMillis) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(readTimeoutMillis);
            return new Connection(socket);
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void respond(int status, String headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            write(
                    "HTTP/1.1 " + status + " -\r\n" + headers
                            + "Content-Length: " + bytes.length + "\r\n\r\n" + body);
        }

        /** Reads a message with its body; null if the connection was closed before it. */
        Message read() throws IOException {
            String line = readLine();
            while (line != null && line.isEmpty()) {
                line = readLine();
            }
            if (line == null) {
                return null;
            }
            Message message = new Message();
            message.startLine = line;
            for (line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                message.headers.put(
                        line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            }
            readBody(message);
            return message;
        }

        private void readBody(Message message) throws IOException {
            if (!message.header("transfer-encoding", "").equalsIgnoreCase("chunked")) {
                int length = Integer.parseInt(message.header("content-length", "0"));
                message.body = in.readNBytes(length);
                message.complete = message.body.length == length;
                return;
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                while (true) {
                    String size = readLine();
                    int length = size == null ? -1 : Integer.parseInt(size.trim(), 16);
                    if (length == 0) {
                        readLine();
                        break;
                    }
                    byte[] chunk = length < 0 ? new byte[0] : in.readNBytes(length);
                    body.write(chunk);
                    if (chunk.length < length || length < 0) {
                        message.complete = false;
                        break;
                    }
                    readLine();
                }
            } catch (IOException e) {
                message.complete = false;
            }
            message.body = body.toByteArray();
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int next = in.read();
            if (next < 0) {
                return null;
            }
            while (next >= 0 && next != '\n') {
                if (next != '\r') {
                    line.write(next);
                }
                next = in.read();
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        /** Closes the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Accepts connections and serves each on a thread of its own. */
    static final class Listener {
        private final ServerSocket server = new ServerSocket();
        private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

        Listener(int port, Handler handler) throws IOException {
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
            startThread(
                    () -> {
                        while (!server.isClosed()) {
                            Connection connection = new Connection(server.accept());
                            connections.add(connection);
                            startThread(() -> serve(connection, handler));
                        }
                    });
        }

        private void serve(Connection connection, Handler handler) throws Exception {
            try (connection) {
                handler.serve(connection);
            } finally {
                connections.remove(connection);
            }
        }

        int port() {
            return server.getLocalPort();
        }

        /** Ends like a process that is killed: nothing listens, and connections are reset. */
        void crash() throws IOException {
            server.close();
            for (Connection connection : connections) {
                connection.reset();
            }
        }
    }

    /** A task that may throw. */
    interface Task {
        void run() throws Exception;
    }

    static Thread startThread(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The peer has closed the connection, or the case is over.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
