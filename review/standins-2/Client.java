import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A client that keeps its channel open for many requests, and waits for each answer. */
final class Client {

    /** One request and what became of it. */
    static final class Sent {
        final String attempt;
        final String what;
        final long sentMillis;
        long endedMillis;

        /** The status, 0 if the channel ended or stayed silent without an answer. */
        int status;

        Http.Message answer;

        Sent(String attempt, String what, long sentMillis) {
            this.attempt = attempt;
            this.what = what;
            this.sentMillis = sentMillis;
        }

        /** Whether a server, and not the system, has given the answer. */
        boolean isFromServer() {
            return answer != null && answer.header("x-server-seal") != null;
        }
    }

    private static final AtomicLong NEXT = new AtomicLong(1);

    private final String entry;
    private final String host;
    private final CaseRecord record;
    private final List<Sent> all = new ArrayList<>();
    private Http.Connection connection;

    Client(String entry, String host, CaseRecord record) {
        this.entry = entry;
        this.host = host;
        this.record = record;
    }

    synchronized List<Sent> all() {
        return new ArrayList<>(all);
    }

    private synchronized Sent begin(String what) {
        Sent sent = new Sent(String.format("a%06d", NEXT.getAndIncrement()), what, record.millis());
        all.add(sent);
        return sent;
    }

    /** Sends a request with a length and returns what became of it. */
    Sent call(String method, String target, byte[] body, long deadlineMillis) {
        Sent sent = begin(method + " " + target);
        record.sent(sent.attempt, sent.what);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put("X-Attempt-Id", sent.attempt);
        headers.put("X-Deadline-Ms", Long.toString(deadlineMillis));
        try {
            if (connection == null) {
                connection = Http.connect(entry, 1_000);
            }
            connection.socket.setSoTimeout((int) deadlineMillis);
            sent.answer = Http.call(connection, method + " " + target, headers, body);
            if (sent.answer == null || !sent.answer.complete) {
                drop();
            } else {
                sent.status = sent.answer.status();
                if ("close".equals(sent.answer.header("connection"))) {
                    drop();
                }
            }
        } catch (SocketTimeoutException e) {
            drop();
        } catch (IOException e) {
            drop();
        }
        sent.endedMillis = record.millis();
        record.answered(
                sent.attempt,
                sent.status == 0
                        ? "nothing"
                        : sent.status + (sent.isFromServer() ? " of a server: " + sent.answer.text() : " of the system"));
        return sent;
    }

    private void drop() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }
}
