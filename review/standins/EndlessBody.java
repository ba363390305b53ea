import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server that sends, after the head of its answer, bytes without end until the caller closes. */
final class EndlessBody extends ServerStandIn.Behaviour {
    private static final String LINE = "worker loop: retrying, see the log of the server\n\n";
    private static final byte[] BLOCK = LINE.repeat(200).getBytes(StandardCharsets.US_ASCII);

    private final Record record;
    private final long bytesPerMilli;
    private volatile boolean active;

    /**
     * Creates the behaviour, inactive.
     *
     * @param bytesPerMilli the speed of the server's link, 0 for no limit
     */
    EndlessBody(Record record, long bytesPerMilli) {
        this.record = record;
        this.bytesPerMilli = bytesPerMilli;
    }

    void setActive(boolean isActive) {
        active = isActive;
        record.line("endless bodies " + (isActive ? "begin" : "end"));
    }

    @Override
    boolean respond(ServerStandIn server, Http.Message request, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        if (!active) {
            return false;
        }
        String attempt = request.header("x-attempt-id");
        String type = server.stage == null ? "" : "Content-Type: text/event-stream\r\n";
        String head = "HTTP/1.1 200 OK\r\n" + ServerStandIn.sealed(attempt) + type + "\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        long start = System.nanoTime();
        long sent = 0;
        record.line("endless " + attempt + " at " + server.id);
        try {
            while (true) {
                out.write(BLOCK);
                sent += BLOCK.length;
                long aheadMillis =
                        bytesPerMilli == 0
                                ? 0
                                : sent / bytesPerMilli - (System.nanoTime() - start) / 1_000_000;
                if (aheadMillis > 0) {
                    Thread.sleep(aheadMillis);
                }
            }
        } finally {
            record.line("caller closed " + attempt + " after " + sent + " bytes");
        }
    }
}
