import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;

/** A client of streams that reads events as they arrive and keeps none of them. */
final class StreamClient {
    private final int port;
    private final Record record;
    private final long bytesPerMilli;

    /**
     * Creates a client.
     *
     * @param bytesPerMilli the speed of its line, 0 for no limit
     */
    StreamClient(int port, Record record, long bytesPerMilli) {
        this.port = port;
        this.record = record;
        this.bytesPerMilli = bytesPerMilli;
    }

    /** Sends a request with a prompt of its own. */
    Record.Call send(String route, int deadlineMillis) {
        String part = Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 1);
        return send(route, deadlineMillis, part, "prompt of " + part);
    }

    /** Sends one request on a new channel and reads its answer until the deadline. */
    Record.Call send(String route, int deadlineMillis, String part, String body) {
        Record.Call call = record.sent(Client.newId(), route);
        long start = System.nanoTime();
        long bytes = 0;
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(deadlineMillis);
            Http.write(
                    socket.getOutputStream(),
                    "POST /" + route + "/x HTTP/1.1",
                    "Host: shop.example\r\nX-Attempt-Id: " + call.id + "\r\nX-Deadline-Ms: "
                            + deadlineMillis + "\r\nX-Model: m\r\nX-Token-Counts: 1000,100\r\n"
                            + "X-Prompt-Prefix: " + part + ":1000\r\n",
                    body);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
            Http.Message head = Http.readHead(in);
            if (head == null) {
                throw new EOFException("closed without an answer");
            }
            if (head.header("content-length") != null) {
                in.readNBytes(Integer.parseInt(head.header("content-length")));
                record.answered(call, head.status() + (head.header("x-server-seal") == null
                        ? " without seal" : " with seal"));
                return call;
            }
            byte[] buffer = new byte[16 << 10];
            int size;
            do {
                size = Integer.parseInt(Http.readLine(in, false).trim(), 16);
                for (int left = size; left > 0; ) {
                    int count = in.read(buffer, 0, Math.min(left, buffer.length));
                    if (count < 0) {
                        throw new EOFException("closed within the stream");
                    }
                    left -= count;
                    bytes += count;
                    pace(start, bytes);
                }
                Http.readLine(in, false);
                if (System.nanoTime() - start > deadlineMillis * 1_000_000L) {
                    throw new java.net.SocketTimeoutException("deadline");
                }
            } while (size > 0);
            record.answered(call, head.status() + " complete, " + bytes + " bytes");
        } catch (java.net.SocketTimeoutException e) {
            record.line("gave up " + call.id + " " + route + " after " + bytes + " bytes");
        } catch (IOException | InterruptedException e) {
            record.answered(call, "broken (" + e.getMessage() + ") after " + bytes + " bytes");
        }
        return call;
    }

    private void pace(long startNanos, long bytes) throws InterruptedException {
        if (bytesPerMilli > 0) {
            long due = bytes / bytesPerMilli;
            long elapsed = (System.nanoTime() - startNanos) / 1_000_000;
            if (due > elapsed) {
                Thread.sleep(due - elapsed);
            }
        }
    }
}
