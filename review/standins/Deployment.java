import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment on loopback: a store, servers, and processes of the project. */
final class Deployment implements AutoCloseable {
    final Record record;
    final StoreStandIn store = new StoreStandIn();
    final List<Entry> entries = new ArrayList<>();
    private final Path directory = Files.createTempDirectory("review");

    Deployment(Path folder) throws IOException {
        record = new Record(folder.resolve("record.txt"));
        store.put("config", "main", Config.main(1));
        // Also ends the processes if the case is interrupted.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Whether the disruption is to be played. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    ServerStandIn addServer(
            String id, String service, String stage, ServerStandIn.Behaviour behaviour)
            throws IOException {
        ServerStandIn server = newServer(id, service, stage, behaviour, 0);
        store.put("servers", id, server.specification("a", "ready"));
        return server;
    }

    /** Starts a server that has not registered itself yet, on a port, 0 for a free one. */
    ServerStandIn newServer(
            String id,
            String service,
            String stage,
            ServerStandIn.Behaviour behaviour,
            int port)
            throws IOException {
        boolean plain = stage == null;
        int slots = plain ? 6 : 48;
        long workMillis = plain ? 43 : 60;
        return new ServerStandIn(
                id, service, stage, slots, workMillis, record, behaviour, port);
    }

    Entry startEntry(String name) throws IOException, InterruptedException {
        List<Entry> others = List.copyOf(entries);
        Entry entry = new Entry(name, directory);
        // Before the start, so that a process that does not become ready is ended too.
        entries.add(entry);
        entry.start(store.address(), others);
        record.line("entry " + name + " is ready");
        return entry;
    }

    private void endProcesses() {
        for (Entry entry : entries) {
            entry.close();
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Runs a case and exits with its result: 0 if the rule held, 1 if not, 2 if it couldn't run. */
    static void run(Path folder, Case test) {
        int result = 2;
        try (Deployment deployment = new Deployment(folder)) {
            result = test.holds(deployment) ? 0 : 1;
            deployment.record.line(result == 0 ? "the rule held" : "the rule was broken");
        } catch (IOException | InterruptedException | RuntimeException e) {
            e.printStackTrace();
            result = 2;
        }
        System.exit(result);
    }

    /** One case. */
    interface Case {
        boolean holds(Deployment deployment) throws IOException, InterruptedException;
    }
}
