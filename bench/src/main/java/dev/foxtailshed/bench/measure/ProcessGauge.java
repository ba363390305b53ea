package dev.foxtailshed.bench.measure;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;

/**
 * Reads processor time and memory of a process from the proc file system.
 *
 * <p>Example: <code>long beforeNanos = ProcessGauge.cpuNanos(pid);</code>. Thread-safe; throws
 * {@link UncheckedIOException} if the process does not exist or the file system is not mounted.
 */
public final class ProcessGauge {

    /** The kernel reports times in hundredths of a second, regardless of its tick rate. */
    private static final long NANOS_PER_TICK = 10_000_000;

    private static final Pattern COMPILER = Pattern.compile("\\(C[12] Compiler");

    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;
    private static final long BYTES_PER_KIB = 1_024;

    private ProcessGauge() {}

    /**
     * Returns the processor time that a process has used.
     *
     * @param pid the process id
     * @return user and system time of all its threads, in steps of 10 ms
     */
    public static long cpuNanos(long pid) {
        return cpuNanos(read(pid, "stat"));
    }

    /**
     * Returns the processor time that the JIT compiler of a JVM has used.
     *
     * @param pid the process id
     * @return user and system time of its live compiler threads, in steps of 10 ms
     */
    public static long compilerNanos(long pid) {
        File[] tasks = new File("/proc/" + pid + "/task").listFiles();
        long nanos = 0;
        for (File task : tasks == null ? new File[0] : tasks) {
            try {
                String stat = Files.readString(task.toPath().resolve("stat"));
                nanos += COMPILER.matcher(stat).find() ? cpuNanos(stat) : 0;
            } catch (IOException e) {
                // The thread has ended, and its time can no longer be read.
                continue;
            }
        }
        return nanos;
    }

    private static long cpuNanos(String stat) {
        // The name in parentheses may contain spaces; field indexes count from its end.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
        return ticks * NANOS_PER_TICK;
    }

    /**
     * Returns the resident set size of a process.
     *
     * @param pid the process id
     * @return bytes, 0 if the kernel reports none
     */
    public static long residentBytes(long pid) {
        return read(pid, "status")
                .lines()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KIB)
                .findFirst()
                .orElse(0);
    }

    /**
     * Returns the load averages of the machine.
     *
     * @return the load averages of 1, 5 and 15 minutes as the kernel prints them
     */
    public static String loadAverage() {
        try {
            String[] fields = Files.readString(Path.of("/proc/loadavg")).split(" ");
            return String.join(" ", fields[0], fields[1], fields[2]);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String read(long pid, String file) {
        try {
            return Files.readString(Path.of("/proc", Long.toString(pid), file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
