import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, with the milliseconds since the start of the case. */
final class Record {

    private final long startNanos = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String who, String what) {
        lines.add(String.format("%7d ms  %-10s %s", nowMillis(), who, what));
    }

    synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
