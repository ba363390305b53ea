import java.util.Random;
import java.util.concurrent.ConcurrentLinkedDeque;

/** Sends requests at random times, as independent clients with kept channels do. */
final class Traffic {
    private static final int PLAIN_DEADLINE_MILLIS = 1_500;
    private static final int STREAM_DEADLINE_MILLIS = 14_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Record record;
    private final int port;
    private final long bytesPerMilli;
    private final Random random = new Random(1);
    private final ConcurrentLinkedDeque<Client> clients = new ConcurrentLinkedDeque<>();
    private double nextMillis;

    Traffic(Record record, int port, long bytesPerMilli) {
        this.record = record;
        this.port = port;
        this.bytesPerMilli = bytesPerMilli;
    }

    /** Sends for some time, at given rates per second. */
    void send(long millis, double orders, double lookups, double streams)
            throws InterruptedException {
        nextMillis = record.nowMillis();
        long end = record.nowMillis() + millis;
        double all = orders + lookups + streams;
        while (record.nowMillis() < end) {
            nextMillis -= Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / all;
            Thread.sleep(Math.max(0, (long) nextMillis - record.nowMillis()));
            double pick = random.nextDouble() * all;
            if (pick < streams) {
                Listener.start(this::sendStream, "stream");
            } else if (pick < streams + orders) {
                Listener.start(() -> sendPlain("POST", "order", "{\"item\":\"wire\"}"), "order");
            } else {
                Listener.start(() -> sendPlain("GET", "status", ""), "status");
            }
        }
    }

    private void sendStream() {
        new StreamClient(port, record, bytesPerMilli).send("draft", STREAM_DEADLINE_MILLIS);
    }

    private void sendPlain(String method, String route, String body) {
        Client client = clients.pollFirst();
        if (client == null) {
            client = new Client(port, record);
        }
        client.send(method, route, "", body, PLAIN_DEADLINE_MILLIS);
        clients.addFirst(client);
    }
}
