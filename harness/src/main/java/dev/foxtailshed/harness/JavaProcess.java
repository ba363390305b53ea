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
 * A program of this repository, running in a JVM of its own.
 *
 * <p>Thread-safe. {@link #close} kills the process; {@link #terminate} stops it gracefully.
 */
public final class JavaProcess implements AutoCloseable {

    private static final long READY_SECONDS = 30;
    private static final int MAXIMUM_KEPT_LINES = 2_000;

    /** JVM options that keep memory and threads low, as many JVMs share one machine. */
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
     * Starts a program in a small JVM, without waiting until it is ready.
     *
     * @param name the name of the process in error messages
     * @param environment environment variables to add to those of this process
     * @param arguments the command line of the program
     */
    public static JavaProcess start(
            String name,
            ProgramJar program,
            Map<String, String> environment,
            List<String> arguments) {
        return start(name, program, SMALL_JVM, environment, arguments);
    }

    /**
     * Starts a program, without waiting until it is ready.
     *
     * @param name the name of the process in error messages
     * @param environment environment variables to add to those of this process
     * @param arguments the command line of the program
     */
    public static JavaProcess start(
            String name,
            ProgramJar program,
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
            started.startReader(started.process.getInputStream(), started::onOutput);
            started.startReader(started.process.getErrorStream(), started::onError);
            return started;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    /**
     * Waits until the process has printed its ready line.
     *
     * @return the listen address in the ready line
     * @throws IllegalStateException if the process exits or prints no ready line within 30 s
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
        throw new IllegalStateException(name + " did not become ready: " + errorOutput());
    }

    /** Returns the listen address of the process; waits until it is ready. */
    public InetSocketAddress address() {
        return awaitReady();
    }

    /** Returns the name and the process id. */
    @Override
    public String toString() {
        return name + " (process " + pid() + ")";
    }

    /** Returns the process id assigned by the operating system. */
    public long pid() {
        return process.pid();
    }

    /** Kills the process (SIGKILL) and waits until it has exited. */
    public void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Freezes the process (SIGSTOP). */
    public void freeze() {
        signal("-STOP");
    }

    /** Resumes a frozen process (SIGCONT). */
    public void resume() {
        signal("-CONT");
    }

    /** Makes the process reload its settings file (SIGHUP). */
    public void reloadSettings() {
        signal("-HUP");
    }

    /** Requests a graceful stop (SIGTERM) and returns at once. */
    public void terminate() {
        signal("-TERM");
    }

    /**
     * Waits until the process has exited and its output has been read.
     *
     * @return the exit status
     * @throws IllegalStateException if the process does not exit within 30 s
     */
    public int awaitExit() {
        try {
            if (!process.waitFor(READY_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(name + " did not exit: " + errorOutput());
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

    /** Returns whether the process has not exited yet; a frozen process is alive. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the last lines of standard error, joined by line feeds. */
    public String errorOutput() {
        synchronized (errorLines) {
            return String.join("\n", errorLines);
        }
    }

    /** Returns the last lines of standard output, joined by line feeds. */
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

    private void startReader(InputStream stream, Consumer<String> consumer) {
        Thread thread =
                new Thread(
                        () -> {
                            try (BufferedReader reader =
                                    new BufferedReader(
                                            new InputStreamReader(
                                                    stream, StandardCharsets.UTF_8))) {
                                reader.lines().forEach(consumer);
                            } catch (IOException | UncheckedIOException e) {
                                // Reading fails when the process is killed, as that closes the
                                // stream.
                                consumer.accept("stream closed: " + e.getMessage());
                            }
                        },
                        name + "-output");
        thread.setDaemon(true);
        readers.add(thread);
        thread.start();
    }

    private void onOutput(String line) {
        appendBounded(outputLines, line);
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
        appendBounded(errorLines, line);
    }

    private static void appendBounded(Deque<String> lines, String line) {
        synchronized (lines) {
            lines.addLast(line);
            if (lines.size() > MAXIMUM_KEPT_LINES) {
                lines.removeFirst();
            }
        }
    }
}
