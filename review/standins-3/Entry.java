import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the project, started with the command of the deploy file. */
final class Entry {

    final String name;
    final int callerPort = Wire.freePort();
    final int controlPort = Wire.freePort();
    private final int readinessPort = Wire.freePort();
    private final Path settings;
    private final Path log;
    private Process process;

    Entry(String name, Path folder, int storePort, List<Integer> peerPorts) throws IOException {
        this.name = name;
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        List<String> peers = new ArrayList<>();
        peerPorts.forEach(port -> peers.add("\"127.0.0.1:" + port + "\""));
        Files.writeString(
                settings,
                "{\"platform\":\"fleet\",\"instance\":\"" + name
                        + "\",\"zone\":\"ar-centro-a\",\"listen\":{\"callers\":\"127.0.0.1:" + callerPort
                        + "\",\"readiness\":\"127.0.0.1:" + readinessPort
                        + "\",\"control\":\"127.0.0.1:" + controlPort
                        + "\"},\"store\":\"127.0.0.1:" + storePort
                        + "\",\"peers\":[" + String.join(",", peers)
                        + "],\"repeatBudget\":{\"ratio\":0.2,\"reserve\":52,\"windowSeconds\":10},"
                        + "\"leaseMillis\":3000,\"graceSeconds\":8}");
    }

    /** Starts the process and waits until it is ready. */
    void start() throws Exception {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        String run = deploy.replaceAll("(?s).*\\nrun = \"([^\"]*)\".*", "$1");
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        command.addAll(List.of("--settings-file", settings.toString()));
        process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        for (int i = 0; i < 200; i++) {
            try (Wire.Connection probe = Wire.Connection.open(readinessPort, 1_000)) {
                probe.write("GET /readiness HTTP/1.1\r\nHost: probe\r\n\r\n");
                if (probe.read().status() == 200) {
                    return;
                }
            } catch (IOException | RuntimeException e) {
                // Not up yet.
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(name + " is not ready: " + Files.readString(log));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void stop() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }
}
