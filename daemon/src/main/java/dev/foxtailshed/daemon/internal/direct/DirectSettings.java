package dev.foxtailshed.daemon.internal.direct;

import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import dev.foxtailshed.daemon.hosting.JsonFields;
import dev.foxtailshed.daemon.internal.settings.SettingParsers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings file of a direct entry.
 *
 * <p>Unknown fields are ignored. A missing or bad field is refused with its place.
 *
 * @param platform the name of the hosting platform
 * @param instance the name of this instance
 * @param zone the availability zone of this instance
 * @param callerAddress where callers connect
 * @param readinessAddress where the balancer asks whether this instance is ready
 * @param controlAddress where metrics and peers are served
 * @param storeAddress the platform's store
 * @param peers control addresses of other entries, some of which may be gone
 * @param repeatRatio repeats to a service allowed for each request, over all entries
 * @param repeatReserve repeats to a service allowed besides, over all entries
 * @param repeatWindowMillis the window over which repeats are counted
 * @param leaseMillis how long orders of one entry exclude those of another
 * @param graceMillis the time between SIGTERM and SIGKILL
 */
record DirectSettings(
        String platform,
        String instance,
        String zone,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress controlAddress,
        InetSocketAddress storeAddress,
        List<InetSocketAddress> peers,
        double repeatRatio,
        double repeatReserve,
        long repeatWindowMillis,
        long leaseMillis,
        long graceMillis) {

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Reads the file.
     *
     * @param file its path
     * @return the settings
     * @throws IllegalArgumentException if it cannot be read, with the place of the error
     */
    static DirectSettings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "settings file " + file + " cannot be read: " + e, e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings file " + file + ": " + e.getMessage(), e);
        }
    }

    static DirectSettings parse(String text) {
        JsonFields root;
        try {
            root = JsonFields.of("", JsonParser.parseString(text));
        } catch (JsonParseException e) {
            throw new IllegalArgumentException("expected JSON: " + e.getMessage(), e);
        }
        JsonFields listen = root.object("listen");
        JsonFields repeats = root.object("repeatBudget");
        return new DirectSettings(
                root.text("platform"),
                root.text("instance"),
                root.text("zone"),
                address(listen, "callers"),
                address(listen, "readiness"),
                address(listen, "control"),
                address(root, "store"),
                root.texts("peers").stream().map(SettingParsers::address).toList(),
                repeats.number("ratio", 0),
                repeats.number("reserve", 0),
                millis(repeats, "windowSeconds"),
                root.whole("leaseMillis", 1),
                millis(root, "graceSeconds"));
    }

    private static long millis(JsonFields fields, String name) {
        return (long) (fields.number(name, 0) * MILLIS_PER_SECOND);
    }

    private static InetSocketAddress address(JsonFields fields, String name) {
        try {
            return SettingParsers.address(fields.text(name));
        } catch (IllegalArgumentException e) {
            throw fields.expected(name, "IP:PORT");
        }
    }
}
