import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client with one kept channel, which is replaced when it has failed. */
final class Client {
    private static final AtomicLong NEXT_ID = new AtomicLong(0x1000);

    private final int port;
    private final Record record;
    private Socket socket;
    private InputStream in;

    Client(int port, Record record) {
        this.port = port;
        this.record = record;
    }

    static String newId() {
        return "a" + Long.toHexString(NEXT_ID.incrementAndGet());
    }

    /** Sends one request and waits for its answer until the client gives up. */
    Record.Call send(String method, String route, String headers, String body, int giveUpMillis) {
        Record.Call call = record.sent(newId(), route);
        try {
            if (socket == null) {
                socket = new Socket("127.0.0.1", port);
                socket.setTcpNoDelay(true);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout(giveUpMillis);
            OutputStream out = socket.getOutputStream();
            Http.write(
                    out,
                    method + " /" + route + "/x HTTP/1.1",
                    "Host: shop.example\r\nX-Attempt-Id: " + call.id + "\r\nX-Deadline-Ms: "
                            + giveUpMillis + "\r\n" + headers,
                    body);
            Http.Message response = Http.readResponse(in);
            record.answered(call, response.status() + describe(response));
            if ("close".equalsIgnoreCase(response.header("connection"))) {
                close();
            }
        } catch (java.net.SocketTimeoutException e) {
            record.line("gave up " + call.id + " " + route);
            close();
        } catch (IOException e) {
            record.answered(call, "closed (" + e.getMessage() + ")");
            close();
        }
        return call;
    }

    private static String describe(Http.Message response) {
        String seal = response.header("x-server-seal");
        return seal == null ? " without seal" : " with seal, " + response.body.length + " bytes";
    }

    void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed in any case.
        }
        socket = null;
    }
}
