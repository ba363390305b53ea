import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** One process of the project, started with the command of the deploy file. */
final class Entry implements AutoCloseable {
    final String name;
    final int callers = freePort();
    final int readiness = freePort();
    final int control = freePort();
    private final Path directory;
    private Process process;

    Entry(String name, Path directory) throws IOException {
        this.name = name;
        this.directory = directory;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts the process and waits until it is ready. */
    void start(String store, List<Entry> others) throws IOException, InterruptedException {
        String peers =
                String.join(
                        ",", others.stream().map(e -> "\"127.0.0.1:" + e.control + "\"").toList());
        Path settings = directory.resolve(name + ".json");
        Files.writeString(
                settings,
                "{\"platform\":\"fleet\",\"instance\":\"" + name + "\",\"zone\":\"a\",\"listen\":{"
                        + "\"callers\":\"127.0.0.1:" + callers + "\",\"readiness\":\"127.0.0.1:"
                        + readiness + "\",\"control\":\"127.0.0.1:" + control + "\"},\"store\":\""
                        + store + "\",\"peers\":[" + peers + "],\"repeatBudget\":{\"ratio\":0.2,"
                        + "\"reserve\":52,\"windowSeconds\":10},\"leaseMillis\":3000,"
                        + "\"graceSeconds\":8}");
        // The words of "run" in deploy/system.toml.
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                command.addAll(
                        Arrays.asList(line.substring(7, line.length() - 1).split(" ")));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("FOXTAILSHED_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(directory.resolve(name + ".log").toFile());
        process = builder.start();
        long end = System.nanoTime() + 20_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException(name + " did not become ready");
            }
            Thread.sleep(100);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    boolean isReady() {
        try (Socket socket = new Socket("127.0.0.1", readiness)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            return Http.readResponse(socket.getInputStream()).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    String log() throws IOException {
        return Files.readString(directory.resolve(name + ".log"));
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
