import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One machine of the system: a process started with the command of the deploy file. */
final class EntryProcess {

    /** The words of "run" in deploy/system.toml. */
    private static final List<String> COMMAND =
            List.of(
                    ("java -Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
                                    + " -XX:SharedArchiveFile=target/foxtailshed.jsa"
                                    + " -jar target/foxtailshed.jar direct-entry --log-format json")
                            .split(" "));

    final String name;
    final String callers = "127.0.0.1:" + freePort();
    final String readiness = "127.0.0.1:" + freePort();
    final String control = "127.0.0.1:" + freePort();
    final Path log;
    private final Path settings;
    private Process process;

    EntryProcess(String name, Path directory) {
        this.name = name;
        this.settings = directory.resolve(name + ".json");
        this.log = directory.resolve(name + ".log");
        // Also ends the process if the case is broken off.
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts the process with the settings that the template of the deploy file gives. */
    void start(String store, List<String> peers) throws IOException {
        List<String> quoted = new ArrayList<>();
        peers.forEach(peer -> quoted.add("\"" + peer + "\""));
        Files.writeString(
                settings,
                "{\"platform\":\"fleet\",\"instance\":\"" + name + "\",\"zone\":\"z1\","
                        + "\"listen\":{\"callers\":\"" + callers + "\",\"readiness\":\""
                        + readiness + "\",\"control\":\"" + control + "\"},"
                        + "\"store\":\"" + store + "\",\"peers\":" + quoted + ","
                        + "\"repeatBudget\":{\"ratio\":0.2,\"reserve\":52,\"windowSeconds\":10},"
                        + "\"leaseMillis\":3000,\"graceSeconds\":8}");
        ProcessBuilder builder = new ProcessBuilder(COMMAND);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("FOXTAILSHED_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.directory(new File("."));
        process = builder.start();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Waits until the process says that it is ready. */
    void awaitReady(long limitMillis) throws InterruptedException {
        long end = System.currentTimeMillis() + limitMillis;
        while (readinessStatus() != 200) {
            if (System.currentTimeMillis() > end || !process.isAlive()) {
                throw new IllegalStateException(name + " did not become ready");
            }
            Thread.sleep(50);
        }
    }

    /** Asks as the platform does; returns 0 if there is no answer within a second. */
    int readinessStatus() {
        try {
            Http.Connection connection = Http.connect(readiness, 1_000);
            try {
                Http.Message answer =
                        Http.call(
                                connection,
                                "GET /readiness",
                                Map.of("Host", readiness),
                                new byte[0]);
                return answer == null ? 0 : answer.status();
            } finally {
                connection.close();
            }
        } catch (IOException e) {
            return 0;
        }
    }

    /** Kills the process if it still runs. */
    void end() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
