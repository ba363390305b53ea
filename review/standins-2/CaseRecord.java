import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The record of a case: what was sent, run and answered, with the time since its begin. */
final class CaseRecord {

    /** A request that a server began to run. */
    record Run(long millis, String server, String attempt, String method, String target) {}

    private final PrintWriter out;
    private final long begunNanos = System.nanoTime();
    private final List<Run> runs = new ArrayList<>();

    CaseRecord(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long millis() {
        return (System.nanoTime() - begunNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f ", millis() / 1000.0) + text);
    }

    synchronized void sent(String attempt, String what) {
        line("sent     " + attempt + " " + what);
    }

    synchronized void answered(String attempt, String what) {
        line("answered " + attempt + " " + what);
    }

    synchronized void ran(String server, String attempt, String method, String target, int bytes) {
        runs.add(new Run(millis(), server, attempt, method, target));
        line("run      " + attempt + " at " + server + ": " + method + " " + target + ", " + bytes + " bytes");
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(runs);
    }

    /** Writes the verdict and returns the exit code of the script. */
    synchronized int end(boolean held, String verdict) {
        line((held ? "HELD: " : "BROKEN: ") + verdict);
        System.out.println((held ? "held: " : "broken: ") + verdict);
        return held ? 0 : 1;
    }
}
