import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What clients sent and got, and what servers ran; written to record.txt as it happens. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final List<Call> calls = new ArrayList<>();

    /** One client attempt. */
    static final class Call {
        final String id;
        final String route;
        final long sentMillis;
        volatile long answeredMillis = -1;
        volatile String answer = "none";

        Call(String id, String route, long sentMillis) {
            this.id = id;
            this.route = route;
            this.sentMillis = sentMillis;
        }
    }

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%6d %s%n", nowMillis(), text);
        out.flush();
    }

    void ran(String id, String server) {
        runs.merge(id, 1, Integer::sum);
        line("run " + id + " at " + server);
    }

    int runs(String id) {
        return runs.getOrDefault(id, 0);
    }

    synchronized Call sent(String id, String route) {
        Call call = new Call(id, route, nowMillis());
        calls.add(call);
        line("sent " + id + " " + route);
        return call;
    }

    void answered(Call call, String answer) {
        call.answer = answer;
        call.answeredMillis = nowMillis();
        line("answered " + call.id + " " + call.route + " " + answer + " after "
                + (call.answeredMillis - call.sentMillis) + " ms, runs " + runs(call.id));
    }

    synchronized List<Call> calls() {
        return List.copyOf(calls);
    }
}
