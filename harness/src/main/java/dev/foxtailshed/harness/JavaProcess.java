package dev.foxtailshed.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One program of this repository as a process of its own.
 *
 * <p>Thread-safe. {@link #close} kills the process; {@link #terminate} asks it to stop.
 */
public final class JavaProcess implements AutoCloseable {

    private static final long READY_SECONDS = 30;
    private static final int KEPT_LINES = 2_000;

    /** Options of a JVM that shares the machine with many others. */
    static final List<String> SMALL_JVM =
            List.of(
                    "-XX:+UseSerialGC",
                    "-Xss256k",
                    "-Xmx96m",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData");

    private final String name;
    private final Process process;
    private final CountDownLatch ready = new CountDownLatch(1);
    private final Deque<String> outputLines = new ArrayDeque<>();
    private final Deque<String> errorLines = new ArrayDeque<>();
    private final List<Thread> readers = new ArrayList<>();
    private volatile Optional<InetSocketAddress> address = Optional.empty();

    private JavaProcess(String name, Process process) {
        this.name = name;
        this.process = process;
    }

    /**
     * Starts a program in a small JVM.
     *
     * @param name what it is called in errors
     * @param program the program
     * @param environment variables to add
     * @param arguments the command line
     * @return the process, perhaps not ready yet
     */
    public static JavaProcess start(
            String name,
            ProgramJars program,
            Map<String, String> environment,
            List<String> arguments) {
        return start(name, program, SMALL_JVM, environment, arguments);
    }

    /**
     * Starts a program.
     *
     * @param name what it is called in errors
     * @param program the program
     * @param jvmOptions options of the JVM
     * @param environment variables to add
     * @param arguments the command line
     * @return the process, perhaps not ready yet
     */
    public static JavaProcess start(
            String name,
            ProgramJars program,
            List<String> jvmOptions,
            Map<String, String> environment,
            List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + "/bin/java");
        command.addAll(jvmOptions);
        command.add("-jar");
        command.add(program.path().toString());
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        try {
            JavaProcess started = new JavaProcess(name, builder.start());
            started.follow(started.process.getInputStream(), started::onOutput);
            started.follow(started.process.getErrorStream(), started::onError);
            return started;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    /**
     * Waits for the ready line.
     *
     * @return the address on it
     * @throws IllegalStateException if the process ends or stays silent
     */
    public InetSocketAddress awaitReady() {
        try {
            for (int i = 0; i < READY_SECONDS * 10; i++) {
                if (ready.await(100, TimeUnit.MILLISECONDS)) {
                    return address.orElseThrow();
                }
                if (!process.isAlive()) {
                    break;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new IllegalStateException(name + " did not become ready: " + errors());
    }

    /**
     * Returns where the process serves.
     *
     * @return the address of its ready line
     */
    public InetSocketAddress address() {
        return awaitReady();
    }

    /**
     * Returns the process id.
     *
     * @return the id
     */
    public long pid() {
        return process.pid();
    }

    /** Kills the process at once and waits until it is gone. */
    public void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Freezes the process (SIGSTOP). */
    public void freeze() {
        signal("-STOP");
    }

    /** Lets a frozen process go on (SIGCONT). */
    public void resume() {
        signal("-CONT");
    }

    /** Tells the process that its settings file has changed (SIGHUP). */
    public void hangUp() {
        signal("-HUP");
    }

    /** Asks the process to stop (SIGTERM) and returns at once. */
    public void terminate() {
        signal("-TERM");
    }

    /**
     * Waits until the process has ended.
     *
     * @return its exit status
     */
    public int awaitExit() {
        try {
            if (!process.waitFor(READY_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(name + " does not end: " + errors());
            }
            for (Thread reader : readers) {
                reader.join(TimeUnit.SECONDS.toMillis(READY_SECONDS));
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /**
     * Tells whether the process runs or is frozen.
     *
     * @return false once it has ended
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns the last lines of standard error.
     *
     * @return the lines, joined
     */
    public String errors() {
        synchronized (errorLines) {
            return String.join("\n", errorLines);
        }
    }

    /**
     * Returns the last lines of standard output.
     *
     * @return the lines, joined
     */
    public String output() {
        synchronized (outputLines) {
            return String.join("\n", outputLines);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void follow(InputStream stream, Consumer<String> consumer) {
        Thread thread =
                new Thread(
                        () -> {
                            try (BufferedReader reader =
                                    new BufferedReader(
                                            new InputStreamReader(
                                                    stream, StandardCharsets.UTF_8))) {
                                reader.lines().forEach(consumer);
                            } catch (IOException | UncheckedIOException e) {
                                // The stream closes when the process is killed.
                                consumer.accept("stream closed: " + e.getMessage());
                            }
                        },
                        name + "-output");
        thread.setDaemon(true);
        readers.add(thread);
        thread.start();
    }

    private void onOutput(String line) {
        keep(outputLines, line);
        if (line.startsWith("ready ") && address.isEmpty()) {
            String[] words = line.split(" ");
            int colon = words[2].lastIndexOf(':');
            address =
                    Optional.of(
                            new InetSocketAddress(
                                    words[2].substring(0, colon),
                                    Integer.parseInt(words[2].substring(colon + 1))));
            ready.countDown();
        }
    }

    private void onError(String line) {
        keep(errorLines, line);
    }

    private static void keep(Deque<String> lines, String line) {
        synchronized (lines) {
            lines.addLast(line);
            if (lines.size() > KEPT_LINES) {
                lines.removeFirst();
            }
        }
    }
}
